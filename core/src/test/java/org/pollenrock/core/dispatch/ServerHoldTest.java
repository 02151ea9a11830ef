package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.fleet.ServerNotice;
import org.pollenrock.core.fleet.ServerNotices;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.IgnoredAnnouncements;

/** Guards against requests to a server that has asked for a pause. */
class ServerHoldTest {
  private static final int SCHEDULES = 5_000;
  private static final int STEPS = 80;
  private static final int SERVERS = 3;
  private static final String SERVICE = "ledger";

  private final Fleet fleet = new Fleet();
  private final Dispatcher dispatcher = dispatcher(fleet);

  private static Dispatcher dispatcher(Fleet fleet) {
    return Fixtures.dispatcher(fleet, new CrashQuarantine(new IgnoredAnnouncements()), 1_000);
  }

  private static ServerNotice hold(long nanos) {
    return new ServerNotice(false, OptionalLong.of(nanos), false, "");
  }

  private static ServerNotice none() {
    return new ServerNotice(false, OptionalLong.empty(), false, "");
  }

  private static ListedBackend entry(int server) {
    return new ListedBackend(
        "s" + server, 1, "v1", SERVICE, "10.0.0." + server, 80, "near", 50, true, Map.of());
  }

  private static DispatchRequest request(long nowNanos) {
    return Fixtures.request("r" + nowNanos, Optional.empty(), 3, nowNanos);
  }

  private Backend listServer(int server, long nowNanos) {
    fleet.applyEntry(entry(server), nowNanos);
    return fleet.usableServers(SERVICE).getLast();
  }

  /** Time from which a server has asked for a pause, and its end. */
  private record Hold(String server, long fromNanos, long untilNanos) {}

  /**
   * Rule BUDGET: within a pause that a server has asked for, it gets no request, whether a new one,
   * a resend, one from the queue or one that is claimed for a silent send, and also after its entry
   * was removed and added again.
   */
  @Test
  void noRequestIsAssignedWithinAPause() {
    Random random = new Random(2_503);
    int[] instanceCounts = {1, 4, 38, 396};
    for (int schedule = 0; schedule < SCHEDULES; schedule++) {
      Fleet servers = new Fleet();
      Dispatcher assigning = dispatcher(servers);
      assigning.setInstanceCount(instanceCounts[schedule % instanceCounts.length]);
      List<Hold> holds = new ArrayList<>();
      long now = 0;
      for (int step = 0; step < STEPS; step++) {
        now += random.nextInt(300) * Fixtures.MILLI;
        int server = random.nextInt(SERVERS);
        List<Backend> assigned = new ArrayList<>();
        switch (random.nextInt(7)) {
          case 0 -> servers.applyEntry(entry(server), now);
          case 1 -> servers.applyRemoval("s" + server, now);
          case 2 -> record(assigning.submit(request(now), now), assigned);
          case 3 -> record(assigning.resubmit(request(now), Set.of(), true, now), assigned);
          case 4 ->
              assigning
                  .dispatchWaiting(SERVICE, now)
                  .forEach(released -> assigned.add(released.choice().backend()));
          case 5 ->
              assigning
                  .claimReplacement(request(now), Set.of("s" + server), now)
                  .ifPresent(chosen -> assigned.add(chosen.backend()));
          default -> {
            for (Backend backend : List.copyOf(servers.all())) {
              if (random.nextInt(3) == 0) {
                long holdNanos = (1 + random.nextInt(3_000)) * Fixtures.MILLI;
                servers.applyNotice(backend, hold(holdNanos), random.nextInt(1_000), now);
                holds.add(new Hold(backend.entry().id(), now, now + holdNanos));
              } else if (random.nextBoolean()) {
                servers.applyNotice(backend, none(), 0, now);
              }
            }
          }
        }
        long sentNanos = now;
        for (Backend backend : assigned) {
          assertThat(holds)
              .noneMatch(
                  hold ->
                      hold.server().equals(backend.entry().id())
                          && hold.fromNanos() <= sentNanos
                          && sentNanos < hold.untilNanos());
        }
      }
    }
  }

  private static void record(DispatchResult result, List<Backend> assigned) {
    if (result instanceof DispatchResult.Sent sent) {
      assigned.add(sent.choice().backend());
    }
  }

  @Test
  void callerIsToldAtOnceWhenTheOnlyServerAcceptsRequestsAgain() {
    Backend server = listServer(1, 0);
    fleet.applyNotice(server, hold(5 * Fixtures.SECOND), 0, 0);
    DispatchRequest request = request(1);
    assertThat(dispatcher.submit(request, 1))
        .isEqualTo(new DispatchResult.Refused(DispatchResult.Cause.ON_HOLD));
    assertThat(dispatcher.retryAfterMillis(request, 1)).isBetween(5_000L, 5_350L);
  }

  @Test
  void requestsGoToTheOtherServer() {
    Backend held = listServer(1, 0);
    Backend other = listServer(2, 0);
    fleet.applyNotice(held, hold(5 * Fixtures.SECOND), 0, 0);
    for (int number = 1; number < 10; number++) {
      assertThat(dispatcher.submit(request(number), number))
          .isInstanceOfSatisfying(
              DispatchResult.Sent.class,
              sent -> assertThat(sent.choice().backend()).isSameAs(other));
    }
  }

  /** After a pause, all waiting requests must not meet the server at its first instant. */
  @Test
  void singleRequestTriesAServerAfterAPause() {
    Backend server = listServer(1, 0);
    fleet.applyNotice(server, hold(Fixtures.SECOND), 0, 0);
    assertThat(dispatcher.submit(request(Fixtures.SECOND), Fixtures.SECOND))
        .isInstanceOf(DispatchResult.Sent.class);
    long later = Fixtures.SECOND + Fixtures.MILLI;
    assertThat(dispatcher.submit(request(later), later)).isInstanceOf(DispatchResult.Queued.class);
    fleet.applyNotice(server, none(), 0, later + 1);
    assertThat(dispatcher.dispatchWaiting(SERVICE, later + 2)).hasSize(1);
  }

  /** The response to a request from before the pause does not end it. */
  @Test
  void earlierResponseDoesNotEndAPause() {
    Backend server = listServer(1, 0);
    fleet.applyNotice(server, hold(Fixtures.SECOND), 0, 0);
    fleet.applyNotice(server, none(), 0, 10);
    assertThat(server.notices().permitsSend(20)).isFalse();
  }

  @Test
  void ofOverlappingPausesTheLastEndCounts() {
    Backend server = listServer(1, 0);
    fleet.applyNotice(server, hold(3 * Fixtures.SECOND), 0, 0);
    fleet.applyNotice(server, hold(Fixtures.SECOND), 0, Fixtures.SECOND);
    assertThat(server.notices().remainingHoldNanos(Fixtures.SECOND)).isEqualTo(2 * Fixtures.SECOND);
  }

  @Test
  void absurdlyLongPauseEnds() {
    Backend server = listServer(1, 0);
    fleet.applyNotice(server, hold(Long.MAX_VALUE), 0, 0);
    assertThat(server.notices().permitsRequest(ServerNotices.MAX_HOLD_NANOS)).isTrue();
  }
}
