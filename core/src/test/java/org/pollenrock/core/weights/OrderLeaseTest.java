package org.pollenrock.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against two holders that send orders without the handover time between them, after pauses,
 * restarts and lost responses of the log.
 */
class OrderLeaseTest {
  private static final long MILLI = 1_000_000L;
  private static final long HANDOVER_MILLIS = 3_000;
  private static final OrderLeaseSettings SETTINGS = OrderLeaseSettings.of(HANDOVER_MILLIS);

  /** Log of claims in memory. */
  private static final class FakeClaimLog {
    private final List<OrderClaim> claims = new ArrayList<>();

    private Optional<OrderClaim> newest() {
      return claims.isEmpty() ? Optional.empty() : Optional.of(claims.get(claims.size() - 1));
    }

    private boolean append(long end, OrderClaim claim) {
      return end == claims.size() && claims.add(claim);
    }
  }

  private record Order(int machine, long atNanos, long fencingNumber) {}

  private record DelayedClaim(long end, OrderClaim claim, long atNanos) {}

  @Test
  void firstClaimantClaimsAtOnceAndRenewsWhileThereIsWork() {
    OrderLease lease = new OrderLease("a", 0, 1, SETTINGS);
    FakeClaimLog log = new FakeClaimLog();
    long now = 0;
    int claims = 0;
    for (; now < 2_000 * MILLI; now += 50 * MILLI) {
      claims += runStep(lease, log, true, now) ? 1 : 0;
    }
    assertThat(claims).isBetween(4, 8);
    assertThat(lease.fencingNumber(now)).isPresent();
    for (; now < 10_000 * MILLI; now += 50 * MILLI) {
      assertThat(runStep(lease, log, false, now)).isFalse();
    }
    assertThat(lease.fencingNumber(now)).isEmpty();
    runStep(lease, log, true, now);
    assertThat(lease.fencingNumber(now)).isPresent();
  }

  /** The response to a claim from before a standstill of the clock must not allow orders. */
  @Test
  void claimSentBeforeAStandstillOfTheClockAllowsNoOrders() {
    OrderLease lease = new OrderLease("a", 0, 1, SETTINGS);
    FakeClaimLog log = new FakeClaimLog();
    runStep(lease, log, true, 0);
    LeaseStep.AppendClaim append = (LeaseStep.AppendClaim) lease.nextStep(true, 1);
    lease.requireRenewal();
    lease.recordClaimAccepted(append.claim(), append.logEnd(), 2);
    assertThat(lease.fencingNumber(3)).isEmpty();
  }

  @Test
  void noOrdersAreAllowedUntilTheRequiredRenewal() {
    OrderLease lease = new OrderLease("a", 0, 1, SETTINGS);
    FakeClaimLog log = new FakeClaimLog();
    runStep(lease, log, true, 0);
    runStep(lease, log, true, 1);
    assertThat(lease.fencingNumber(2)).isPresent();
    lease.requireRenewal();
    assertThat(lease.fencingNumber(2)).isEmpty();
    runStep(lease, log, true, 3);
    assertThat(lease.fencingNumber(4)).isPresent();
  }

  @Test
  void anotherInstanceTakesOverInTime() {
    OrderLease first = new OrderLease("a", 0, 1, SETTINGS);
    OrderLease second = new OrderLease("b", 100 * MILLI, 1, SETTINGS);
    FakeClaimLog log = new FakeClaimLog();
    long now = 0;
    for (; now < 1_000 * MILLI; now += 50 * MILLI) {
      runStep(first, log, true, now);
      runStep(second, log, true, now);
    }
    long failureNanos = now;
    while (second.fencingNumber(now).isEmpty()) {
      runStep(second, log, true, now);
      now += 50 * MILLI;
    }
    assertThat(now - failureNanos).isBetween(HANDOVER_MILLIS * MILLI, 5_000 * MILLI);
  }

  /** A rollout must not wait for a holder that vanished long after its last orders. */
  @Test
  void takeoverIsQuickIfTheHolderVanishedBeforeTheNextRollout() {
    OrderLease first = new OrderLease("a", 0, 1, SETTINGS);
    OrderLease second = new OrderLease("b", 600 * MILLI, 1, SETTINGS);
    FakeClaimLog log = new FakeClaimLog();
    long now = finishRollout(first, second, log);
    long workNanos = now;
    while (second.fencingNumber(now).isEmpty()) {
      runStep(second, log, true, now);
      now += 50 * MILLI;
    }
    assertThat(now - workNanos).isLessThanOrEqualTo(HANDOVER_MILLIS / 2 * MILLI);
  }

  /** A quick takeover must not take the lease from a holder that is there. */
  @Test
  void holderOfTheLastRolloutKeepsTheLease() {
    OrderLease first = new OrderLease("a", 0, 1, SETTINGS);
    OrderLease second = new OrderLease("b", 0, 1, SETTINGS);
    FakeClaimLog log = new FakeClaimLog();
    long now = finishRollout(first, second, log);
    for (long end = now + 5_000 * MILLI; now < end; now += 50 * MILLI) {
      assertThat(runStep(second, log, true, now)).isFalse();
      runStep(first, log, true, now);
    }
    assertThat(first.fencingNumber(now)).isPresent();
  }

  /** Lets the first lease hold through a rollout and returns a time long after its end. */
  private static long finishRollout(OrderLease first, OrderLease second, FakeClaimLog log) {
    long now = 0;
    for (; now < 20_000 * MILLI; now += 50 * MILLI) {
      boolean hasWork = now < 2_300 * MILLI;
      runStep(first, log, hasWork, now);
      runStep(second, log, hasWork, now);
    }
    return now;
  }

  /**
   * Load pattern: hundreds of instances see outdated engines while one of them gives the orders.
   */
  @Test
  void readsOfTheLogDoNotGrowWithTheInstances() {
    FakeClaimLog log = new FakeClaimLog();
    OrderLease holder = new OrderLease("a", 0, 1, SETTINGS);
    OrderLease standby = new OrderLease("b", 100 * MILLI, 1, SETTINGS);
    standby.setCandidate(false);
    int reads = 0;
    for (long now = 0; now < 35_000 * MILLI; now += 50 * MILLI) {
      runStep(holder, log, true, now);
      LeaseStep step = standby.nextStep(true, now);
      assertThat(step).isNotInstanceOf(LeaseStep.AppendClaim.class);
      if (step instanceof LeaseStep.ReadNewestClaim) {
        reads++;
        standby.recordNewestClaim(log.newest(), log.claims.size() - 1, log.claims.size(), now);
      }
    }
    assertThat(reads).isLessThanOrEqualTo(11);
  }

  @Test
  void standbyTakesOverIfTheHolderAndAllCandidatesAreGone() {
    FakeClaimLog log = new FakeClaimLog();
    OrderLease first = new OrderLease("a", 0, 1, SETTINGS);
    OrderLease standby = new OrderLease("b", 100 * MILLI, 1, SETTINGS);
    standby.setCandidate(false);
    long now = 0;
    for (; now < 1_000 * MILLI; now += 50 * MILLI) {
      runStep(first, log, true, now);
      runStep(standby, log, true, now);
    }
    long failureNanos = now;
    while (standby.fencingNumber(now).isEmpty()) {
      runStep(standby, log, true, now);
      now += 50 * MILLI;
    }
    assertThat(now - failureNanos).isBetween(HANDOVER_MILLIS * MILLI, 8_000 * MILLI);
  }

  /** Load pattern: the log turns one instance away at once for a long time, and is priced. */
  @Test
  void callsToALogThatTurnsTheInstanceAwayBecomeRare() {
    OrderLease lease = new OrderLease("a", 0, 1, SETTINGS);
    int reads = 0;
    for (long now = 0; now < 16_000 * MILLI; now += 25 * MILLI) {
      if (lease.nextStep(true, now) instanceof LeaseStep.ReadNewestClaim) {
        reads++;
        lease.recordReadFailure();
      }
    }
    assertThat(reads).isLessThanOrEqualTo(20);
    long returnNanos = 16_000 * MILLI;
    long now = returnNanos;
    FakeClaimLog log = new FakeClaimLog();
    for (; lease.fencingNumber(now).isEmpty(); now += 25 * MILLI) {
      runStep(lease, log, true, now);
    }
    assertThat(now - returnNanos).isLessThanOrEqualTo(SETTINGS.takeoverNanos() + 50 * MILLI);
  }

  /** Load pattern: the log is readable but refuses every append, within milliseconds. */
  @Test
  void refusedClaimsBecomeRare() {
    OrderLease lease = new OrderLease("a", 0, 1, SETTINGS);
    int calls = 0;
    for (long now = 0; now < 16_000 * MILLI; now += 4 * MILLI) {
      switch (lease.nextStep(true, now)) {
        case LeaseStep.Idle() -> {}
        case LeaseStep.ReadNewestClaim() -> {
          calls++;
          lease.recordNewestClaim(Optional.empty(), -1, 0, now);
        }
        case LeaseStep.AppendClaim append -> {
          calls++;
          lease.recordClaimFailure();
        }
      }
    }
    assertThat(calls).isLessThanOrEqualTo(80);
  }

  /**
   * Instances pause, are killed and restart; the log loses responses and appends some claims late.
   */
  @Property(tries = 300, seed = "11")
  void ordersOfDifferentHoldersAreSeparatedAndFencingNumbersGrow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int machines = random.nextInt(2, 5);
    OrderLease[] leases = new OrderLease[machines];
    long[] pausedUntil = new long[machines];
    for (int i = 0; i < machines; i++) {
      leases[i] = lease(i, random);
    }
    FakeClaimLog log = new FakeClaimLog();
    List<DelayedClaim> delayedClaims = new ArrayList<>();
    List<Order> orders = new ArrayList<>();
    for (long now = 0; now < 60_000 * MILLI; now += 50 * MILLI) {
      appendDelayedClaims(delayedClaims, log, now);
      int index = random.nextInt(machines);
      pauseOrRestart(random, leases, pausedUntil, index, now);
      for (int i = 0; i < machines; i++) {
        if (now < pausedUntil[i]) {
          continue;
        }
        boolean hasWork = random.nextInt(10) > 0;
        if (random.nextInt(40) == 0) {
          leases[i].setCandidate(random.nextBoolean());
        }
        execute(leases[i], leases[i].nextStep(hasWork, now), log, delayedClaims, random, now);
        if (leases[i].fencingNumber(now).isPresent()) {
          orders.add(new Order(i, now, leases[i].fencingNumber(now).getAsLong()));
        }
      }
    }
    assertOrdersSeparated(orders);
  }

  private static void assertOrdersSeparated(List<Order> orders) {
    for (int i = 1; i < orders.size(); i++) {
      Order previous = orders.get(i - 1);
      Order next = orders.get(i);
      if (previous.machine() != next.machine()) {
        assertThat(next.atNanos() - previous.atNanos())
            .isGreaterThanOrEqualTo(HANDOVER_MILLIS * MILLI);
        assertThat(next.fencingNumber()).isGreaterThan(previous.fencingNumber());
      }
      assertThat(next.fencingNumber()).isGreaterThanOrEqualTo(previous.fencingNumber());
    }
  }

  private static OrderLease lease(int machine, SplittableRandom random) {
    return new OrderLease("m" + machine, random.nextInt(600) * MILLI, random.nextLong(), SETTINGS);
  }

  private static void pauseOrRestart(
      SplittableRandom random, OrderLease[] leases, long[] pausedUntil, int index, long now) {
    int kind = random.nextInt(300);
    if (kind == 0) {
      pausedUntil[index] = now + random.nextInt(8_000) * MILLI;
    } else if (kind == 1) {
      leases[index] = lease(index, random);
      pausedUntil[index] = now + random.nextInt(3_000) * MILLI;
    }
  }

  private static void appendDelayedClaims(
      List<DelayedClaim> delayedClaims, FakeClaimLog log, long now) {
    delayedClaims.removeIf(
        claim -> {
          if (claim.atNanos() > now) {
            return false;
          }
          log.append(claim.end(), claim.claim());
          return true;
        });
  }

  private static void execute(
      OrderLease lease,
      LeaseStep step,
      FakeClaimLog log,
      List<DelayedClaim> delayedClaims,
      SplittableRandom random,
      long now) {
    int fault = random.nextInt(20);
    switch (step) {
      case LeaseStep.Idle() -> {}
      case LeaseStep.ReadNewestClaim() -> {
        if (fault == 0) {
          lease.recordReadFailure();
        } else {
          lease.recordNewestClaim(log.newest(), log.claims.size() - 1L, log.claims.size(), now);
        }
      }
      case LeaseStep.AppendClaim(long end, OrderClaim claim) -> {
        if (fault == 0) {
          log.append(end, claim);
          lease.recordClaimFailure();
        } else if (fault == 1) {
          delayedClaims.add(new DelayedClaim(end, claim, now + random.nextInt(6_000) * MILLI));
          lease.recordClaimFailure();
        } else if (log.append(end, claim)) {
          lease.recordClaimAccepted(claim, end, now);
        } else {
          lease.recordClaimFailure();
        }
      }
    }
  }

  /** Executes one step without a fault and returns whether it was a claim. */
  private static boolean runStep(OrderLease lease, FakeClaimLog log, boolean hasWork, long now) {
    LeaseStep step = lease.nextStep(hasWork, now);
    execute(lease, step, log, new ArrayList<>(), new SplittableRandom(faultFreeSeed()), now);
    return step instanceof LeaseStep.AppendClaim;
  }

  /** Returns a seed whose first draw causes no fault. */
  private static long faultFreeSeed() {
    long seed = 0;
    while (new SplittableRandom(seed).nextInt(20) < 2) {
      seed++;
    }
    return seed;
  }
}
