package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.dispatch.Fixtures.MILLI;
import static org.pollenrock.core.dispatch.Fixtures.SECOND;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.IgnoredAnnouncements;

/** Guards against sends whose responses can't arrive before the instance stops. */
class StopPlanTest {
  private static final long NOW = 50 * SECOND;
  private static final StopPlan PLAN = new StopPlan(NOW + 4 * SECOND);
  private static final DispatchResult REFUSED =
      new DispatchResult.Refused(DispatchResult.Cause.STOPPING);

  private final Fleet fleet = new Fleet();
  private final Dispatcher dispatcher =
      Fixtures.dispatcher(fleet, new CrashQuarantine(new IgnoredAnnouncements()), 10);

  private static DispatchRequest request(boolean repeatable, long limitMillis, long arrivedNanos) {
    return new DispatchRequest(
        "r",
        "ledger",
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        5,
        repeatable,
        600,
        arrivedNanos,
        arrivedNanos + limitMillis * MILLI);
  }

  private void recordCompletions(int count, long millis) {
    for (int number = 0; number < count; number++) {
      dispatcher.recordCompletion(request(true, 9_000, NOW), NOW + millis * MILLI);
    }
  }

  /** A request that may not be repeated and is cut can't be sent again by its caller. */
  @Test
  void nonRepeatableRequestNeedsItsWholeTime() {
    OptionalLong soon = OptionalLong.of(SECOND);
    assertThat(PLAN.permitsSend(request(false, 4_000, NOW), soon, NOW)).isTrue();
    assertThat(PLAN.permitsSend(request(false, 4_001, NOW), soon, NOW)).isFalse();
    assertThat(PLAN.permitsSend(request(false, 4_001, NOW), soon, NOW + SECOND)).isFalse();
  }

  @Test
  void repeatableRequestNeedsTheUsualTime() {
    DispatchRequest request = request(true, 9_000, NOW);
    assertThat(PLAN.permitsSend(request, OptionalLong.of(4 * SECOND), NOW)).isTrue();
    assertThat(PLAN.permitsSend(request, OptionalLong.of(4 * SECOND), NOW + 1)).isFalse();
    assertThat(PLAN.permitsSend(request, OptionalLong.empty(), NOW)).isFalse();
    assertThat(PLAN.permitsSend(request(true, 1_000, NOW), OptionalLong.empty(), NOW)).isTrue();
  }

  /** Each way to a send has to ask, or late requests are cut (issue 37). */
  @Test
  void everySendAsksThePlan() {
    dispatcher.setInstanceCount(1);
    fleet.applyEntry(Fixtures.plainServer("a", "near", 1), 0);
    DispatchRequest waiting = request(false, 9_000, NOW);
    DispatchResult last = dispatcher.submit(waiting, NOW);
    while (last instanceof DispatchResult.Sent) {
      last = dispatcher.submit(waiting, NOW);
    }
    assertThat(last).isInstanceOf(DispatchResult.Queued.class);
    assertThat(dispatcher.removeTooLate("ledger", NOW)).isEmpty();
    dispatcher.planStop(PLAN);
    assertThat(dispatcher.removeTooLate("ledger", NOW)).hasSize(1);
    fleet.applyEntry(Fixtures.plainServer("b", "near", 100), 0);
    DispatchRequest repeatable = request(true, 9_000, NOW);
    assertThat(dispatcher.submit(waiting, NOW)).isEqualTo(REFUSED);
    assertThat(dispatcher.resubmit(repeatable, Set.of("a"), true, NOW)).isEqualTo(REFUSED);
    assertThat(dispatcher.claimReplacement(repeatable, Set.of("a"), NOW)).isEmpty();
    DispatchRequest shorter = request(true, 3_000, NOW);
    assertThat(dispatcher.resubmit(shorter, Set.of("a"), true, NOW))
        .isInstanceOf(DispatchResult.Sent.class);
    assertThat(dispatcher.claimReplacement(shorter, Set.of("a"), NOW)).isPresent();
  }

  /** A refused resend must leave the retry budget as it was. */
  @Test
  void refusedResendIsNotCharged() {
    dispatcher.setInstanceCount(1);
    dispatcher.submit(request(true, 9_000, NOW), NOW);
    dispatcher.planStop(PLAN);
    int left = dispatcher.remainingResends(NOW);
    dispatcher.resubmit(request(true, 9_000, NOW), Set.of("a"), true, NOW);
    assertThat(dispatcher.remainingResends(NOW)).isEqualTo(left);
  }

  @Test
  void usualTimeIsKnownAfterEnoughRequests() {
    fleet.applyEntry(Fixtures.plainServer("a", "near", 100), 0);
    dispatcher.planStop(PLAN);
    DispatchRequest request = request(true, 9_000, NOW);
    recordCompletions(99, 200);
    assertThat(dispatcher.submit(request, NOW)).isEqualTo(REFUSED);
    recordCompletions(1, 200);
    assertThat(dispatcher.submit(request, NOW)).isInstanceOf(DispatchResult.Sent.class);
    assertThat(dispatcher.submit(request(false, 9_000, NOW), NOW)).isEqualTo(REFUSED);
  }

  /** One slow request in a hundred must not be taken for an exception. */
  @Test
  void usualTimeCoversTheSlowestPercent() {
    ResponseTimes times = new ResponseTimes();
    for (int number = 0; number < 1_000; number++) {
      times.record((number % 50 == 0 ? 5_000 : 100) * MILLI);
    }
    assertThat(times.upperBoundNanos().orElseThrow()).isGreaterThan(10 * SECOND);
  }

  /** After a slow phase, requests must not be refused for ever. */
  @Test
  void usualTimeForgetsOldRequests() {
    ResponseTimes times = new ResponseTimes();
    for (int number = 0; number < 1_000; number++) {
      times.record(5_000 * MILLI);
    }
    for (int number = 0; number < 10_000; number++) {
      times.record(100 * MILLI);
    }
    assertThat(times.upperBoundNanos().orElseThrow()).isBetween(200 * MILLI, 300 * MILLI);
  }

  /** Callers must not wait for an instance that stops while others serve. */
  @Test
  void refusedCallerRetriesAtOnceIfThereAreOtherInstances() {
    dispatcher.setInstanceCount(2);
    DispatchResult.Cause stopping = DispatchResult.Cause.STOPPING;
    assertThat(dispatcher.retryAfterMillis(Optional.empty(), stopping, NOW))
        .isEqualTo(StopPlan.RETRY_AFTER_MILLIS);
    dispatcher.setInstanceCount(1);
    assertThat(dispatcher.retryAfterMillis(Optional.empty(), stopping, NOW))
        .isGreaterThan(StopPlan.RETRY_AFTER_MILLIS);
  }
}
