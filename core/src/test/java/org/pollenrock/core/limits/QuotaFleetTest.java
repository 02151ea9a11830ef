package org.pollenrock.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenrock.core.route.CustomerQuota;

/**
 * Guards against quotas that all instances together exceed, or that a customer within its quota
 * loses because its requests arrive unevenly.
 */
class QuotaFleetTest {
  private static final long SECOND = 1_000 * QuotaFleet.MS;
  private static final long WINDOW = 8 * SECOND;
  private static final double OVER = 0.1;
  private static final double SLACK = 20_000;
  private static final QuotaMargins MARGINS = new QuotaMargins(WINDOW, OVER, SLACK);
  private static final double SHORT_REQUEST = 2_400;
  private static final double LONG_REQUEST = 12_000;

  private static CustomerQuota quota(double rate) {
    return new CustomerQuota(rate, 2 * rate, CustomerQuota.Unit.TOKENS, 200);
  }

  private static double allowed(CustomerQuota quota) {
    double perWindow = quota.ratePerSecond() * WINDOW / SECOND + quota.capacity();
    return perWindow * (1 + OVER) + SLACK;
  }

  /** Load: a customer sends a multiple of its quota, to instances that change. */
  private static void addDemand(
      QuotaFleet fleet, int size, double perSecond, SplittableRandom random, long endNanos) {
    double mean = 0.75 * SHORT_REQUEST + 0.25 * LONG_REQUEST;
    // Few instances get most of the requests.
    double skew = random.nextDouble(1, 4);
    for (long at = fleet.nowNanos(); at < endNanos; ) {
      at += (long) (-Math.log(1 - random.nextDouble()) * mean / perSecond * SECOND);
      int instance = (int) (size * Math.pow(random.nextDouble(), skew));
      double amount = random.nextInt(4) == 0 ? LONG_REQUEST : SHORT_REQUEST;
      fleet.at(at, () -> fleet.request(instance, amount));
    }
  }

  /** Failures: cuts, lost datagrams, and restarts of single instances and of all. */
  private static void addFaults(
      QuotaFleet fleet, int size, SplittableRandom random, long endNanos) {
    fleet.setLoss(random.nextInt(3) * 0.2);
    for (long at = 0; at < endNanos; at += random.nextLong(SECOND, 4 * SECOND)) {
      int boundary = random.nextInt(size);
      fleet.at(at, () -> fleet.setCut(boundary));
      fleet.at(at + SECOND, () -> fleet.setCut(0));
    }
    // Every instance restarts at most twice in a window.
    for (long at = 0; at < endNanos; at += 4 * SECOND) {
      long start = at;
      int last = random.nextBoolean() ? size : 1 + random.nextInt(size);
      for (int instance = random.nextInt(last); instance < last; instance++) {
        int restarted = instance;
        long delay = random.nextLong(SECOND / 2);
        fleet.at(start + delay, () -> fleet.restart(restarted));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 800", "4, 1800", "24, 1800", "38, 580", "396, 20"})
  void allInstancesTogetherStayWithinTheRule(int size, int schedules) {
    for (int seed = 0; seed < schedules; seed++) {
      SplittableRandom random = new SplittableRandom(31L * size + seed);
      CustomerQuota quota = quota(36_000 * random.nextInt(1, 3));
      QuotaFleet fleet = new QuotaFleet(size, quota, MARGINS, seed);
      long end = 10 * SECOND;
      addDemand(fleet, size, quota.ratePerSecond() * random.nextInt(1, 4), random, end);
      addFaults(fleet, size, random, end);
      fleet.runUntil(end);
      assertThat(fleet.largestWindow(WINDOW, 0))
          .as("size %d, seed %d", size, seed)
          .isLessThanOrEqualTo(allowed(quota));
    }
  }

  /** Failure: a limit falls in the middle of four times the usual demand. */
  @ParameterizedTest
  @CsvSource({"1, 50", "24, 50", "38, 20"})
  void aLowerLimitBindsAfterOneWindow(int size, int schedules) {
    for (int seed = 0; seed < schedules; seed++) {
      SplittableRandom random = new SplittableRandom(77L * size + seed);
      QuotaFleet fleet = new QuotaFleet(size, quota(144_000), MARGINS, seed);
      CustomerQuota lower = quota(48_000);
      long end = 24 * SECOND;
      addDemand(fleet, size, 300_000, random, end);
      fleet.at(10 * SECOND, () -> fleet.setQuota(lower));
      fleet.runUntil(end);
      assertThat(fleet.largestWindow(WINDOW, 10 * SECOND))
          .as("size %d, seed %d", size, seed)
          .isLessThanOrEqualTo(allowed(lower));
    }
  }

  /** Load: steady demand within the quota arrives at few of the instances. */
  @ParameterizedTest
  @CsvSource({
    "1, 20, 36000, 0.55", "4, 20, 36000, 0.55", "24, 20, 36000, 0.55", "38, 20, 36000, 0.55",
    "396, 10, 36000, 0.55", "4, 20, 400000, 0.85", "24, 20, 400000, 0.85", "38, 10, 400000, 0.85",
    "396, 2, 400000, 0.85"
  })
  void aCustomerWithinItsQuotaLosesLittle(int size, int schedules, double rate, double load) {
    double offered = 0;
    double granted = 0;
    for (int seed = 0; seed < schedules; seed++) {
      SplittableRandom random = new SplittableRandom(13L * size + seed);
      QuotaFleet fleet = new QuotaFleet(size, quota(rate), MARGINS, seed);
      fleet.runUntil(2 * SECOND);
      addDemand(fleet, size, rate * load, random, 30 * SECOND);
      fleet.runUntil(31 * SECOND);
      offered += fleet.offeredAmount();
      granted += fleet.grantedAmount();
    }
    assertThat(granted).as("size %d", size).isGreaterThan(0.98 * offered);
  }
}
