package org.pollenrock.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against two holders that give orders in turn, after pauses, kills and lost answers. */
class OrderLeaseTest {
  private static final long MILLI = 1_000_000L;
  private static final long HANDOVER_MILLIS = 3_000;
  private static final OrderLeaseSettings SETTINGS = OrderLeaseSettings.of(HANDOVER_MILLIS);

  /** FakeClaimLog of claims that loses answers and carries out claims late. */
  private static final class FakeClaimLog {
    private final List<OrderClaim> claims = new ArrayList<>();

    private Optional<OrderClaim> newest() {
      return claims.isEmpty() ? Optional.empty() : Optional.of(claims.get(claims.size() - 1));
    }

    private boolean append(long end, OrderClaim claim) {
      return end == claims.size() && claims.add(claim);
    }
  }

  private record Order(int machine, long atNanos, long fence) {}

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
    long dead = now;
    while (second.fencingNumber(now).isEmpty()) {
      runStep(second, log, true, now);
      now += 50 * MILLI;
    }
    assertThat(now - dead).isBetween(HANDOVER_MILLIS * MILLI, 5_000 * MILLI);
  }

  /** Machines pause, die and come back; the log loses answers and carries claims out late. */
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
    List<DelayedClaim> late = new ArrayList<>();
    List<Order> orders = new ArrayList<>();
    for (long now = 0; now < 60_000 * MILLI; now += 50 * MILLI) {
      appendDelayedClaims(late, log, now);
      int at = random.nextInt(machines);
      pauseOrRestart(random, leases, pausedUntil, at, now);
      for (int i = 0; i < machines; i++) {
        if (now < pausedUntil[i]) {
          continue;
        }
        boolean work = random.nextInt(10) > 0;
        execute(leases[i], leases[i].nextStep(work, now), log, late, random, now);
        if (leases[i].fencingNumber(now).isPresent()) {
          orders.add(new Order(i, now, leases[i].fencingNumber(now).getAsLong()));
        }
      }
    }
    assertOrdersSeparated(orders);
  }

  private static void assertOrdersSeparated(List<Order> orders) {
    for (int i = 1; i < orders.size(); i++) {
      Order before = orders.get(i - 1);
      Order after = orders.get(i);
      if (before.machine() != after.machine()) {
        assertThat(after.atNanos() - before.atNanos())
            .isGreaterThanOrEqualTo(HANDOVER_MILLIS * MILLI);
        assertThat(after.fence()).isGreaterThan(before.fence());
      }
      assertThat(after.fence()).isGreaterThanOrEqualTo(before.fence());
    }
  }

  private static OrderLease lease(int machine, SplittableRandom random) {
    return new OrderLease("m" + machine, random.nextInt(600) * MILLI, random.nextLong(), SETTINGS);
  }

  private static void pauseOrRestart(
      SplittableRandom random, OrderLease[] leases, long[] pausedUntil, int at, long now) {
    int kind = random.nextInt(300);
    if (kind == 0) {
      pausedUntil[at] = now + random.nextInt(8_000) * MILLI;
    } else if (kind == 1) {
      leases[at] = lease(at, random);
      pausedUntil[at] = now + random.nextInt(3_000) * MILLI;
    }
  }

  private static void appendDelayedClaims(List<DelayedClaim> late, FakeClaimLog log, long now) {
    late.removeIf(
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
      List<DelayedClaim> late,
      SplittableRandom random,
      long now) {
    int fate = random.nextInt(20);
    switch (step) {
      case LeaseStep.Idle() -> {}
      case LeaseStep.ReadNewestClaim() -> {
        if (fate == 0) {
          lease.recordReadFailure();
        } else {
          lease.recordNewestClaim(log.newest(), log.claims.size() - 1L, log.claims.size(), now);
        }
      }
      case LeaseStep.AppendClaim(long end, OrderClaim claim) -> {
        if (fate == 0) {
          log.append(end, claim);
          lease.recordClaimFailure();
        } else if (fate == 1) {
          late.add(new DelayedClaim(end, claim, now + random.nextInt(6_000) * MILLI));
          lease.recordClaimFailure();
        } else if (log.append(end, claim)) {
          lease.recordClaimAccepted(claim, end, now);
        } else {
          lease.recordClaimFailure();
        }
      }
    }
  }

  /** Carries out one step at once; tells whether it was a claim. */
  private static boolean runStep(OrderLease lease, FakeClaimLog log, boolean work, long now) {
    LeaseStep step = lease.nextStep(work, now);
    execute(lease, step, log, new ArrayList<>(), new SplittableRandom(faultFreeSeed()), now);
    return step instanceof LeaseStep.AppendClaim;
  }

  /** Seed whose first draw is no fault. */
  private static long faultFreeSeed() {
    long seed = 0;
    while (new SplittableRandom(seed).nextInt(20) < 2) {
      seed++;
    }
    return seed;
  }
}
