package org.pollenrock.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests to a server that has told that it leaves. */
class LeavingServerTest {
  private static final long MILLI = 1_000_000L;
  private static final int SCHEDULES = 5_000;
  private static final int STEPS = 60;
  private static final int SERVERS = 4;
  private static final String SERVICE = "service";

  private static ListedBackend entry(int server, long startMillis, boolean ready) {
    return new ListedBackend(
        "s" + server, startMillis, "v1", SERVICE, "10.0.0." + server, 80, "dc", 8, ready, Map.of());
  }

  private static ServerNotice leaving(String serverId) {
    return new ServerNotice(true, OptionalLong.empty(), false, serverId);
  }

  private static Backend find(Fleet fleet, String id) {
    return fleet.all().stream()
        .filter(backend -> backend.entry().id().equals(id))
        .findAny()
        .orElse(null);
  }

  /** Rule DRAIN: no entry, outage or return of an older list brings a leaving server back. */
  @Test
  void leavingServerStaysOutOfUseWhateverTheListSays() {
    Random random = new Random(815);
    for (int schedule = 0; schedule < SCHEDULES; schedule++) {
      Fleet fleet = new Fleet();
      Set<String> leavingIncarnations = new HashSet<>();
      long[] starts = new long[SERVERS];
      long now = 0;
      for (int step = 0; step < STEPS; step++) {
        now += random.nextInt(600) * MILLI;
        int server = random.nextInt(SERVERS);
        switch (random.nextInt(8)) {
          case 0, 1 -> fleet.applyEntry(entry(server, starts[server], true), now);
          case 2 -> fleet.applyEntry(entry(server, starts[server], false), now);
          case 3 -> fleet.applyRemoval("s" + server, now);
          case 4 -> fleet.markListUnavailable();
          case 5 -> fleet.markListAvailable(now, 2_000 * MILLI);
          case 6 -> {
            fleet.markListRestored(now, 2_000 * MILLI);
            fleet.applyFullList(List.of(entry(server, starts[server], true)), now);
          }
          default -> {
            Backend backend = find(fleet, "s" + server);
            if (random.nextInt(3) == 0) {
              starts[server]++;
            } else if (backend != null) {
              fleet.applyNotice(backend, leaving(""), 0, 0);
              leavingIncarnations.add(incarnation(backend));
              if (random.nextInt(4) == 0) {
                fleet.removeMisplaced(backend);
              }
            }
          }
        }
        fleet.applyPendingRemovals(now);
        assertThat(fleet.usableServers(SERVICE))
            .noneMatch(backend -> leavingIncarnations.contains(incarnation(backend)));
      }
    }
  }

  private static String incarnation(Backend backend) {
    return backend.entry().id() + "/" + backend.entry().startMillis();
  }

  @Test
  void newIncarnationOfALeavingServerIsUsed() {
    Fleet fleet = new Fleet();
    fleet.applyEntry(entry(1, 1, true), 0);
    fleet.applyNotice(find(fleet, "s1"), leaving("s1"), 0, 0);
    assertThat(fleet.usableServers(SERVICE)).isEmpty();
    fleet.applyEntry(entry(1, 2, true), 1);
    assertThat(fleet.usableServers(SERVICE)).hasSize(1);
  }

  /** A response to a request that was sent before the removal may arrive after it. */
  @Test
  void noticeAfterTheRemovalOfTheEntryHoldsWhenTheEntryComesBack() {
    Fleet fleet = new Fleet();
    fleet.applyEntry(entry(1, 1, true), 0);
    Backend backend = find(fleet, "s1");
    fleet.applyRemoval("s1", 1);
    fleet.applyNotice(backend, leaving(""), 0, 0);
    fleet.applyEntry(entry(1, 1, true), 2);
    assertThat(fleet.usableServers(SERVICE)).isEmpty();
  }

  /** A response to a request from before the removal may arrive when the server is listed again. */
  @Test
  void noticeAfterTheEntryHasComeBackHolds() {
    Fleet fleet = new Fleet();
    fleet.applyEntry(entry(1, 1, true), 0);
    Backend backend = find(fleet, "s1");
    fleet.applyRemoval("s1", 1);
    fleet.applyEntry(entry(1, 1, true), 2);
    assertThat(fleet.usableServers(SERVICE)).hasSize(1);
    fleet.applyNotice(backend, leaving(""), 0, 0);
    assertThat(fleet.usableServers(SERVICE)).isEmpty();
  }

  /** Another server may have taken over the address. */
  @Test
  void noticeOfAnotherServerDoesNotHoldForTheExpectedOne() {
    Fleet fleet = new Fleet();
    fleet.applyEntry(entry(1, 1, true), 0);
    fleet.applyEntry(entry(2, 1, true), 0);
    assertThat(fleet.applyNotice(find(fleet, "s1"), leaving("s2"), 0, 0))
        .isEqualTo(new NoticeEffect.Leaving(find(fleet, "s2")));
    assertThat(fleet.usableServers(SERVICE)).containsExactly(find(fleet, "s1"));
    assertThat(fleet.applyNotice(find(fleet, "s1"), leaving("s9"), 0, 0))
        .isEqualTo(new NoticeEffect.None());
  }

  @Test
  void leavingServerIsNotProbed() {
    Fleet fleet = new Fleet();
    fleet.applyEntry(entry(1, 1, true), 0);
    Backend backend = find(fleet, "s1");
    backend.recordUnreachable(0);
    assertThat(fleet.serversDueForProbe(5_000 * MILLI)).containsExactly(backend);
    fleet.applyNotice(backend, leaving(""), 0, 0);
    assertThat(fleet.serversDueForProbe(5_000 * MILLI)).isEmpty();
  }
}
