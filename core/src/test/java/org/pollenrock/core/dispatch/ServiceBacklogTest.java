package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against waits that are estimated from announcements of instances that are gone, against
 * refusals before anything is known, and against callers who return only to be refused again.
 */
class ServiceBacklogTest {
  private static final int URGENCY = 4;

  private final DispatchQueue queue = new DispatchQueue();
  private final ServiceBacklog backlog = queue.backlog();
  private long now = Fixtures.SECOND;

  private static DispatchRequest request(int number, long now) {
    return Fixtures.request("r" + number, Optional.empty(), URGENCY, now);
  }

  private void queueRequests(int count) {
    for (int i = 0; i < count; i++) {
      queue.add(request(i, now), Set.of(), false, Long.MAX_VALUE, now);
    }
  }

  /** Finishes one request in 100 ms for a second. */
  private void learnTenPerSecond() {
    for (int i = 0; i < 10; i++) {
      now += 100 * Fixtures.MILLI;
      backlog.recordCompletion(request(i, now), now);
    }
  }

  private void announce(long work, double workPerSecond) {
    backlog.applyPeerWaiting("peer", new WaitingWork("ledger", URGENCY, work, workPerSecond), now);
  }

  /** Load pattern: a first burst, whose capacity is not known yet. */
  @Test
  void waitIsNotKnownBeforeRequestsHaveWaited() {
    learnTenPerSecond();
    queueRequests(20);
    assertThat(queue.expectedWaitNanos(request(99, now), now)).isEmpty();
    learnTenPerSecond();
    assertThat(queue.expectedWaitNanos(request(99, now), now)).hasValue(2 * Fixtures.SECOND);
  }

  /** A few requests ahead must never lead to a refusal, however slow the servers seem. */
  @Test
  void fewRequestsAheadAreNoWait() {
    queueRequests(3);
    learnTenPerSecond();
    now += 20 * Fixtures.SECOND;
    assertThat(queue.expectedWaitNanos(request(99, now), now)).hasValue(0);
  }

  /** An instance that freezes with announced work must not make the others refuse for long. */
  @Test
  void announcedWorkOfAFrozenInstanceExpires() {
    queueRequests(20);
    learnTenPerSecond();
    announce(200, 10);
    assertThat(queue.expectedWaitNanos(request(99, now), now)).hasValue(11 * Fixtures.SECOND);
    assertThat(backlog.waitingPeers(now)).isEqualTo(1);
    now += 1_100 * Fixtures.MILLI;
    assertThat(backlog.waitingPeers(now)).isZero();
    assertThat(queue.expectedWaitNanos(request(99, now), now).orElseThrow())
        .isLessThan(5 * Fixtures.SECOND);
  }

  /** A message that another version or a fault has made absurd must not change the estimate. */
  @Test
  void absurdAnnouncementsAreIgnored() {
    queueRequests(20);
    learnTenPerSecond();
    OptionalLong before = queue.expectedWaitNanos(request(99, now), now);
    announce(-5, 10);
    announce(1_000, 0);
    announce(1_000, Double.NaN);
    announce(1_000, -1);
    backlog.applyPeerWaiting("peer", new WaitingWork("ledger", 77, 1_000, 10), now);
    assertThat(queue.expectedWaitNanos(request(99, now), now)).isEqualTo(before);
  }

  /** Load pattern: many are refused at the same moment and would all return together. */
  @Test
  void refusedCallersReturnWhenThereIsRoomAndNotTogether() {
    queueRequests(3);
    learnTenPerSecond();
    RetrySchedule schedule = new RetrySchedule(backlog);
    long[] delays = new long[8];
    for (int i = 0; i < delays.length; i++) {
      DispatchRequest refused = request(100 + i, now);
      delays[i] = schedule.retryAfterMillis(refused, now);
      assertThat(delays[i]).isBetween(300L, (refused.deadlineNanos() - now) / Fixtures.MILLI / 3);
    }
    assertThat(delays[3] - delays[0]).isGreaterThanOrEqualTo(100);
  }

  /** Without waiting requests the delay is as always. */
  @Test
  void retryDelayIsUnchangedWhileNothingWaits() {
    assertThat(new RetrySchedule(backlog).retryAfterMillis(request(1, now), now))
        .isEqualTo(AdmissionPolicy.retryAfterMillis(request(1, now), now));
  }
}
