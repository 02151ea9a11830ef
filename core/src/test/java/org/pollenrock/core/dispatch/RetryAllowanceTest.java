package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against a retry budget that is overdrawn by several instances or by restarts. */
class RetryAllowanceTest {
  private static final long SECOND = 1_000_000_000L;
  private static final RetryAllowanceSettings BUDGET =
      new RetryAllowanceSettings(0.2, 56, 10 * SECOND);

  @Test
  void restartedProcessGetsNoSlackForOneWindow() {
    RetryAllowance allowance = new RetryAllowance(BUDGET, 100 * SECOND);
    allowance.setInstanceCount(4);
    assertThat(allowance.tryResend(101 * SECOND)).isFalse();
    assertThat(allowance.tryResend(111 * SECOND)).isTrue();
  }

  @Test
  void requestsEarnResends() {
    RetryAllowance allowance = new RetryAllowance(BUDGET, 0);
    for (int i = 0; i < 100; i++) {
      allowance.recordRequest(SECOND);
    }
    int resends = 0;
    while (allowance.tryResend(SECOND)) {
      resends++;
    }
    assertThat(resends).isBetween(15, 20);
    assertThat(allowance.tryResend(SECOND)).isFalse();
    assertThat(allowance.tryResend(20 * SECOND)).isTrue();
  }

  /** Every instance resends whenever it may; instances are killed and start again at random. */
  @Property(tries = 60, seed = "41")
  void budgetOfAllInstancesHoldsOverRestarts(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int instances = random.nextInt(1, 12);
    RetryAllowance[] allowances = new RetryAllowance[instances];
    for (int i = 0; i < instances; i++) {
      allowances[i] = startedAllowance(instances, -20 * SECOND);
    }
    List<Long> requests = new ArrayList<>();
    List<Long> resends = new ArrayList<>();
    for (long now = 0; now < 40 * SECOND; now += SECOND / 50) {
      int at = random.nextInt(instances);
      if (random.nextInt(400) == 0) {
        allowances[at] = startedAllowance(instances, now);
      }
      if (random.nextBoolean()) {
        requests.add(now);
        allowances[at].recordRequest(now);
      }
      while (random.nextInt(3) > 0 && allowances[at].tryResend(now)) {
        resends.add(now);
      }
    }
    for (long from = 0; from < 30 * SECOND; from += SECOND / 3) {
      double allowed = BUDGET.ratio() * mostRequests(requests, from) + BUDGET.slack();
      assertThat((double) countInWindow(resends, from)).isLessThanOrEqualTo(allowed);
    }
  }

  private static RetryAllowance startedAllowance(int instances, long nowNanos) {
    RetryAllowance allowance = new RetryAllowance(BUDGET, nowNanos);
    allowance.setInstanceCount(instances);
    return allowance;
  }

  /** The budget counts the requests of the window, of the one before, or of the one between. */
  private static long mostRequests(List<Long> requests, long from) {
    return Math.max(
        countInWindow(requests, from),
        Math.max(
            countInWindow(requests, from - 10 * SECOND),
            countInWindow(requests, from - 5 * SECOND)));
  }

  private static long countInWindow(List<Long> times, long from) {
    return times.stream().filter(time -> time >= from && time < from + 10 * SECOND).count();
  }
}
