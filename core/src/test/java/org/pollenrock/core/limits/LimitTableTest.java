package org.pollenrock.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.RequestKind;

/** Guards against requests above a limit, and against charged capacity that is never released. */
class LimitTableTest {
  private static final long SECOND = 1_000_000_000L;
  private static final ShareSource FULL_LIMIT = (key, limit, now) -> limit;
  private static final CustomerId CUSTOMER = new CustomerId("alpha");
  private static final LimitScope ALL = LimitScope.of(CUSTOMER);
  private static final LimitScope CALLER = LimitScope.of(CUSTOMER, new CallerId("c"));
  private static final LimitScope KIND = LimitScope.of(CUSTOMER, new RequestKind("k"));
  private static final LimitValues NO_LIMITS =
      new LimitValues(
          LimitValues.UNLIMITED,
          LimitValues.UNLIMITED,
          LimitValues.UNLIMITED,
          LimitValues.UNLIMITED);

  private static LimitValues concurrent(long limit) {
    return new LimitValues(
        LimitValues.UNLIMITED, LimitValues.UNLIMITED, limit, LimitValues.UNLIMITED);
  }

  private static LimitHold granted(LimitDecision decision) {
    assertThat(decision).isInstanceOf(LimitDecision.Granted.class);
    return ((LimitDecision.Granted) decision).hold();
  }

  private static LimitDecision.Exceeded exceeded(LimitDecision decision) {
    assertThat(decision).isInstanceOf(LimitDecision.Exceeded.class);
    return (LimitDecision.Exceeded) decision;
  }

  @Test
  void bucketKeepsItsRateAfterAdjustmentsAndNegativeBalances() {
    TokenBucket bucket = new TokenBucket(10, 5, 0);
    assertThat(bucket.allows(20, 0)).isTrue();
    bucket.consume(20);
    assertThat(bucket.nanosUntilAllowed(1, 0)).isEqualTo(16 * SECOND / 10);
    bucket.adjust(20, 40, SECOND);
    assertThat(bucket.tokens(SECOND)).isEqualTo(-5);
    assertThat(bucket.tokens(2 * SECOND)).isEqualTo(15);
    bucket.adjust(20, 4, 2 * SECOND);
    assertThat(bucket.tokens(2 * SECOND)).isEqualTo(4);
    assertThat(bucket.tokens(SECOND)).isEqualTo(4);
    bucket.consume(4);
    bucket.adjust(1, 4, 3 * SECOND);
    assertThat(bucket.tokens(3 * SECOND)).isEqualTo(1);
    bucket.adjust(0, 0, 3 * SECOND);
    assertThat(bucket.allows(0.1, 3 * SECOND)).isFalse();
    assertThat(bucket.nanosUntilAllowed(1, 3 * SECOND)).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void refusalByOneScopeChargesNoScope() {
    LimitTable table = new LimitTable(FULL_LIMIT, 10);
    LimitValues rate = new LimitValues(1_000, 2, LimitValues.UNLIMITED, LimitValues.UNLIMITED);
    List<ScopedLimits> limits =
        List.of(
            new ScopedLimits(ALL, rate),
            new ScopedLimits(CALLER, NO_LIMITS),
            new ScopedLimits(KIND, concurrent(1)));
    LimitHold hold = granted(table.acquire(limits, 10, 0));
    LimitDecision.Exceeded refused = exceeded(table.acquire(limits, 10, 0));
    assertThat(refused.key()).isEqualTo(new LimitKey(KIND, LimitDimension.CONCURRENT_REQUESTS));
    assertThat(refused.refusal().code()).isEqualTo(ErrorCode.LIMIT_EXCEEDED);
    assertThat(table.runningCount(ALL)).isEqualTo(1);
    table.release(hold, 0);
    table.release(hold, 0);
    assertThat(table.runningCount(KIND)).isZero();
    granted(table.acquire(limits, 10, 0));
  }

  @Test
  void cancelledRequestIsRefundedOnlyOnce() {
    LimitTable table = new LimitTable(FULL_LIMIT, 10);
    LimitValues tokens = new LimitValues(LimitValues.UNLIMITED, LimitValues.UNLIMITED, 5, 100);
    List<ScopedLimits> limits = List.of(new ScopedLimits(ALL, tokens));
    LimitHold hold = granted(table.acquire(limits, 100, 0));
    assertThat(exceeded(table.acquire(limits, 50, 0)).retryAfterNanos()).isEqualTo(SECOND / 2);
    table.cancel(hold, 0);
    table.cancel(hold, 0);
    granted(table.acquire(limits, 100, 0));
    exceeded(table.acquire(limits, 1, 0));
  }

  @Test
  void shareOfARouterBoundsItsUse() {
    LimitTable table = new LimitTable((key, limit, now) -> limit / 4, 10);
    List<ScopedLimits> limits = List.of(new ScopedLimits(ALL, concurrent(8)));
    granted(table.acquire(limits, 0, 0));
    granted(table.acquire(limits, 0, 0));
    exceeded(table.acquire(limits, 0, 0));
    LimitKey key = new LimitKey(ALL, LimitDimension.CONCURRENT_REQUESTS);
    assertThat(table.demand(key, 0)).isEqualTo(3);
    assertThat(table.demand(key, 20 * SECOND)).isEqualTo(2);
  }

  @Provide
  Arbitrary<List<Integer>> stepSequences() {
    return Arbitraries.integers()
        .between(0, 9_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(150)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  /**
   * A table that evicts idle entries must make the same decisions as one that keeps them all, and
   * must stay within its maximum size.
   */
  @Property(seed = "4108", tries = 2_000, shrinking = ShrinkingMode.BOUNDED)
  void evictionOfIdleEntriesChangesNoDecision(@ForAll("stepSequences") List<Integer> steps) {
    LimitTable evictingTable = new LimitTable(FULL_LIMIT, 1);
    LimitTable retainingTable = new LimitTable(FULL_LIMIT, 1_000);
    LimitValues values = new LimitValues(2_000, 2, 2, 50);
    List<LimitHold[]> holds = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      LimitScope scope = LimitScope.of(new CustomerId("c" + step / 10 % 6));
      int chosen = holds.isEmpty() ? -1 : step / 10 % holds.size();
      switch (step % 10) {
        case 0, 1 -> now += step * 200_000L;
        case 2, 3 -> {
          if (chosen >= 0) {
            LimitHold[] removed = holds.remove(chosen);
            evictingTable.release(removed[0], now);
            retainingTable.release(removed[1], now);
          }
        }
        case 4 -> {
          if (chosen >= 0) {
            LimitHold[] removed = holds.remove(chosen);
            evictingTable.cancel(removed[0], now);
            retainingTable.cancel(removed[1], now);
          }
        }
        default -> {
          List<ScopedLimits> limits = List.of(new ScopedLimits(scope, values));
          LimitDecision evictingDecision = evictingTable.acquire(limits, step % 70, now);
          LimitDecision retainingDecision = retainingTable.acquire(limits, step % 70, now);
          assertThat(evictingDecision.getClass()).isEqualTo(retainingDecision.getClass());
          if (evictingDecision instanceof LimitDecision.Granted granted) {
            holds.add(new LimitHold[] {granted.hold(), granted(retainingDecision)});
          }
        }
      }
    }
    for (LimitHold[] hold : holds) {
      evictingTable.release(hold[0], now);
    }
    long refilledNanos = now + 60 * SECOND;
    for (int i = 0; i < 6; i++) {
      evictingTable.acquire(List.of(), 0, refilledNanos);
    }
    assertThat(evictingTable.size()).isLessThanOrEqualTo(1);
  }
}
