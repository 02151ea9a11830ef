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
 * Guards the invariant leaving-drain: 3 s after a server starts to leave, no router may use it. A
 * router that trusts outdated information would break it when the instance list lags or is
 * unavailable, reports are lost, networks are partitioned, peer messages are delayed or servers
 * restart with the same address.
 */
class MembershipScheduleTest {
  private static final int TRIES = 4_000;
  private static final long MILLI = 1_000_000L;
  private static final long DRAIN_NANOS = 3_000 * MILLI;
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();
  private static long usableCount;

  private static final class Server {
    private final BackendServerId id;
    private long incarnation = 1;
    private boolean leaving;
    private long leavingSinceNanos;

    private Server(int number) {
      id = new BackendServerId("server-" + number);
    }

    private ServerEvidence.Report report() {
      return new ServerEvidence.Report(id, new Incarnation(incarnation), leaving);
    }
  }

  private record PublishedList(long version, List<ListedServer> servers) {}

  private record DelayedMessage(
      long deliverByNanos, int receiver, List<ServerEvidence.PeerDigest> digests) {}

  private static final class Simulation {
    private final List<Server> servers = new ArrayList<>();
    private final List<ServerTable> tables = new ArrayList<>();
    private final List<PublishedList> publishedLists = new ArrayList<>();
    private final List<DelayedMessage> delayedMessages = new ArrayList<>();
    private final boolean[][] partitioned = new boolean[3][4];
    private long nowNanos = 1;
    private boolean listUnavailable;

    private Simulation() {
      for (int i = 0; i < 4; i++) {
        servers.add(new Server(i));
      }
      for (int i = 0; i < 3; i++) {
        tables.add(new ServerTable(SETTINGS));
      }
      publish();
    }

    /** Performs one step; the bits of the number select the action, the router and the argument. */
    private void step(int number) {
      int router = (number >> 4) % 3;
      int argument = number >> 8;
      Server server = servers.get(argument % 4);
      switch (number & 15) {
        case 0, 1, 2, 3, 4 -> readReport(router, argument % 4);
        case 5, 6 -> readList(router, argument);
        case 7 -> sendDigests(router, argument);
        case 8 -> deliver(argument);
        case 9 -> leave(server, argument);
        case 10 -> restart(server, argument);
        case 11 -> partitioned[router][argument % 4] = argument % 3 == 0;
        case 12 -> listUnavailable = argument % 3 == 0;
        case 13 -> publish();
        default -> nowNanos += argument % 900 * MILLI;
      }
      delayedMessages.removeIf(message -> message.deliverByNanos() < nowNanos);
      tables.forEach(table -> table.tick(nowNanos));
      checkInvariant();
    }

    private void readReport(int router, int index) {
      if (!partitioned[router][index]) {
        tables.get(router).observe(servers.get(index).report(), nowNanos);
      }
    }

    private void publish() {
      List<ListedServer> listed = servers.stream().map(Simulation::toListedServer).toList();
      publishedLists.add(new PublishedList(publishedLists.size() + 1, listed));
    }

    private static ListedServer toListedServer(Server server) {
      return ServerTableTest.listed(server.id.value(), server.id + ":80", server.leaving);
    }

    private void readList(int router, int argument) {
      if (!listUnavailable) {
        int lag = Math.min(publishedLists.size() - 1, argument % 4);
        PublishedList publishedList = publishedLists.get(publishedLists.size() - 1 - lag);
        tables.get(router).applyList(publishedList.version(), publishedList.servers(), nowNanos);
      }
    }

    private void sendDigests(int router, int argument) {
      long deliverByNanos = nowNanos + SETTINGS.heartbeatTimeoutNanos();
      int receiver = (router + 1 + argument % 2) % 3;
      delayedMessages.add(
          new DelayedMessage(deliverByNanos, receiver, tables.get(router).digests(nowNanos)));
    }

    private void deliver(int argument) {
      if (!delayedMessages.isEmpty()) {
        DelayedMessage message = delayedMessages.remove(argument % delayedMessages.size());
        ServerTable table = tables.get(message.receiver());
        message.digests().forEach(digest -> table.observe(digest, nowNanos));
      }
    }

    private void leave(Server server, int argument) {
      if (!server.leaving && argument % 2 == 0) {
        server.leaving = true;
        server.leavingSinceNanos = nowNanos;
      }
    }

    private void restart(Server server, int argument) {
      if (argument % 3 == 0) {
        server.incarnation++;
        server.leaving = false;
      }
    }

    private void checkInvariant() {
      for (ServerTable table : tables) {
        List<BackendServerId> usableIds =
            table.usableServers(nowNanos).stream().map(ListedServer::id).toList();
        usableCount += usableIds.size();
        for (Server server : servers) {
          boolean drainTimeOver =
              server.leaving && nowNanos - server.leavingSinceNanos >= DRAIN_NANOS;
          assertThat(drainTimeOver && usableIds.contains(server.id)).as("leaving-drain").isFalse();
        }
      }
    }

    /** Ends all faults and checks that every server reaches the state that it reports. */
    private void checkRecovery() {
      nowNanos += 20_000 * MILLI;
      publish();
      for (int router = 0; router < 3; router++) {
        ServerTable table = tables.get(router);
        table.applyList(publishedLists.size(), publishedLists.getLast().servers(), nowNanos);
        servers.forEach(server -> table.observe(server.report(), nowNanos));
        for (Server server : servers) {
          ServerState expected = server.leaving ? ServerState.LEAVING : ServerState.LIVE;
          assertThat(table.state(server.id, nowNanos)).isEqualTo(expected);
        }
      }
    }
  }

  @Property(seed = "7401", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void leavingServersReceiveNoRequests(@ForAll("schedules") List<Integer> schedule) {
    Simulation simulation = new Simulation();
    schedule.forEach(simulation::step);
    simulation.checkRecovery();
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(60, 200);
  }

  @AfterContainer
  static void schedulesIncludeUsableServers() {
    assertThat(usableCount).as("usable servers over all schedules").isGreaterThan(TRIES * 50L);
  }
}
