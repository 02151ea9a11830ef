package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against several instances or restarted instances exceeding the retry budget together. */
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

  /** Every instance resends whenever it may, and instances are killed and restarted at random. */
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
      int index = random.nextInt(instances);
      if (random.nextInt(400) == 0) {
        allowances[index] = startedAllowance(instances, now);
      }
      if (random.nextBoolean()) {
        requests.add(now);
        allowances[index].recordRequest(now);
      }
      while (random.nextInt(3) > 0 && allowances[index].tryResend(now)) {
        resends.add(now);
      }
    }
    for (long windowStart = 0; windowStart < 30 * SECOND; windowStart += SECOND / 3) {
      double allowed = BUDGET.ratio() * mostRequests(requests, windowStart) + BUDGET.slack();
      assertThat((double) countInWindow(resends, windowStart)).isLessThanOrEqualTo(allowed);
    }
  }

  private static RetryAllowance startedAllowance(int instances, long nowNanos) {
    RetryAllowance allowance = new RetryAllowance(BUDGET, nowNanos);
    allowance.setInstanceCount(instances);
    return allowance;
  }

  /**
   * Returns the largest number of requests in the window, in the previous window, or in the one
   * halfway between, each of which may determine the budget.
   */
  private static long mostRequests(List<Long> requests, long windowStart) {
    return Math.max(
        countInWindow(requests, windowStart),
        Math.max(
            countInWindow(requests, windowStart - 10 * SECOND),
            countInWindow(requests, windowStart - 5 * SECOND)));
  }

  private static long countInWindow(List<Long> times, long windowStart) {
    return times.stream()
        .filter(time -> time >= windowStart && time < windowStart + 10 * SECOND)
        .count();
  }
}
