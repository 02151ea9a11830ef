package org.pollenrock.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.record.Schedules;

/**
 * Guards leaving-drain: a server that leaves is unusable in every router 3 s later, with a list
 * that lags or is down, lost reports, partitions, delayed peer messages and restarts under one
 * address.
 */
class MembershipScheduleTest {
  private static final int TRIES = 4_000;
  private static final long MILLI = 1_000_000L;
  private static final long DRAIN_NANOS = 3_000 * MILLI;
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();
  private static long usableSeen;

  private static final class Server {
    private final BackendServerId id;
    private long incarnation = 1;
    private boolean leaving;
    private long leavingSince;

    private Server(int number) {
      id = new BackendServerId("server-" + number);
    }

    private ServerEvidence.Report report() {
      return new ServerEvidence.Report(id, new Incarnation(incarnation), leaving);
    }
  }

  private record Listing(long version, List<ListedServer> servers) {}

  private record InFlight(long deliverBy, int to, List<ServerEvidence.PeerDigest> digests) {}

  private static final class World {
    private final List<Server> servers = new ArrayList<>();
    private final List<ServerTable> tables = new ArrayList<>();
    private final List<Listing> history = new ArrayList<>();
    private final List<InFlight> messages = new ArrayList<>();
    private final boolean[][] cut = new boolean[3][4];
    private long nowNanos = 1;
    private boolean listDown;

    private World() {
      for (int i = 0; i < 4; i++) {
        servers.add(new Server(i));
      }
      for (int i = 0; i < 3; i++) {
        tables.add(new ServerTable(SETTINGS));
      }
      publish();
    }

    private void step(int number) {
      int router = (number >> 4) % 3;
      int argument = number >> 8;
      Server server = servers.get(argument % 4);
      switch (number & 15) {
        case 0, 1, 2, 3, 4 -> hear(router, argument % 4);
        case 5, 6 -> readList(router, argument);
        case 7 -> sendDigests(router, argument);
        case 8 -> deliver(argument);
        case 9 -> leave(server, argument);
        case 10 -> restart(server, argument);
        case 11 -> cut[router][argument % 4] = argument % 3 == 0;
        case 12 -> listDown = argument % 3 == 0;
        case 13 -> publish();
        default -> nowNanos += argument % 900 * MILLI;
      }
      messages.removeIf(message -> message.deliverBy() < nowNanos);
      tables.forEach(table -> table.tick(nowNanos));
      check();
    }

    private void hear(int router, int index) {
      if (!cut[router][index]) {
        tables.get(router).observe(servers.get(index).report(), nowNanos);
      }
    }

    private void publish() {
      List<ListedServer> listed = servers.stream().map(World::listing).toList();
      history.add(new Listing(history.size() + 1, listed));
    }

    private static ListedServer listing(Server server) {
      return ServerTableTest.listed(server.id.value(), server.id + ":80", server.leaving);
    }

    private void readList(int router, int argument) {
      if (!listDown) {
        int lag = Math.min(history.size() - 1, argument % 4);
        Listing listing = history.get(history.size() - 1 - lag);
        tables.get(router).applyList(listing.version(), listing.servers(), nowNanos);
      }
    }

    private void sendDigests(int router, int argument) {
      long deliverBy = nowNanos + SETTINGS.heartbeatTimeoutNanos();
      int to = (router + 1 + argument % 2) % 3;
      messages.add(new InFlight(deliverBy, to, tables.get(router).digests(nowNanos)));
    }

    private void deliver(int argument) {
      if (!messages.isEmpty()) {
        InFlight message = messages.remove(argument % messages.size());
        ServerTable table = tables.get(message.to());
        message.digests().forEach(digest -> table.observe(digest, nowNanos));
      }
    }

    private void leave(Server server, int argument) {
      if (!server.leaving && argument % 2 == 0) {
        server.leaving = true;
        server.leavingSince = nowNanos;
      }
    }

    private void restart(Server server, int argument) {
      if (argument % 3 == 0) {
        server.incarnation++;
        server.leaving = false;
      }
    }

    private void check() {
      for (ServerTable table : tables) {
        List<BackendServerId> usable =
            table.usableServers(nowNanos).stream().map(ListedServer::id).toList();
        usableSeen += usable.size();
        for (Server server : servers) {
          boolean drained = server.leaving && nowNanos - server.leavingSince >= DRAIN_NANOS;
          assertThat(drained && usable.contains(server.id)).as("leaving-drain").isFalse();
        }
      }
    }

    /** With all faults over, exactly the live servers become usable. */
    private void heal() {
      nowNanos += 20_000 * MILLI;
      publish();
      for (int router = 0; router < 3; router++) {
        ServerTable table = tables.get(router);
        table.applyList(history.size(), history.getLast().servers(), nowNanos);
        servers.forEach(server -> table.observe(server.report(), nowNanos));
        for (Server server : servers) {
          ServerState expected = server.leaving ? ServerState.LEAVING : ServerState.LIVE;
          assertThat(table.state(server.id, nowNanos)).isEqualTo(expected);
        }
      }
    }
  }

  @Property(seed = "7401", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void leavingServersGetNoWork(@ForAll("schedules") List<Integer> schedule) {
    World world = new World();
    schedule.forEach(world::step);
    world.heal();
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(60, 200);
  }

  @AfterContainer
  static void schedulesUseServers() {
    assertThat(usableSeen).as("usable servers over all schedules").isGreaterThan(TRIES * 50L);
  }
}
