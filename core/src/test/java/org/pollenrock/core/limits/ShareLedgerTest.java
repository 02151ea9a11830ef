package org.pollenrock.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against shares that exceed a limit because of loans, and against capacity lost by loans.
 */
class ShareLedgerTest {
  private static final long LIMIT = 1_003;

  @Test
  void baseSharesAddUpToTheLimit() {
    for (int routers = 1; routers <= 5; routers++) {
      for (long limit = 0; limit < 12; limit++) {
        assertThat(new LoanNetwork(routers, limit).totalShare()).isEqualTo(limit);
      }
    }
  }

  @Test
  void oneBusyRouterBorrowsMostOfTheLimitAndKeepsItByRenewal() {
    LoanNetwork network = new LoanNetwork(4, LIMIT);
    network.setDemand(2, 0);
    for (int i = 0; i < 200; i++) {
      network.borrow(0);
      network.tick(i % 4);
      network.deliverAll();
      network.advance(50 * LoanNetwork.MS);
      assertThat(network.totalShare()).isLessThanOrEqualTo(LIMIT);
    }
    assertThat(network.share(0)).isGreaterThan(LIMIT * 9 / 10);
    network.setDemand(0, 0);
    network.tick(0);
    network.deliverAll();
    assertThat(network.totalShare()).isEqualTo(LIMIT);
    assertThat(network.loanCount()).isZero();
  }

  @Test
  void lenderThatNeedsItsShareRegainsItWithinTheMaxWithheldTime() {
    LoanNetwork network = new LoanNetwork(2, LIMIT);
    network.setDemand(0, LIMIT);
    network.borrow(0);
    network.deliverAll();
    long base = LIMIT / 2;
    assertThat(network.share(1)).isLessThan(base);
    network.setDemand(1, base);
    for (int i = 0; i < 22; i++) {
      network.advance(100 * LoanNetwork.MS);
      network.tick(0);
      network.deliverAll();
    }
    assertThat(network.share(1)).isGreaterThanOrEqualTo(base);
  }

  @Test
  void routerWhosePeersHaveNothingToLendRequestsOnlyOncePerInterval() {
    LoanNetwork network = new LoanNetwork(2, LIMIT);
    network.setDemand(0, LIMIT);
    network.setDemand(1, LIMIT);
    for (int i = 0; i < 100; i++) {
      network.borrow(0);
      network.deliverAll();
      network.advance(LoanNetwork.MS);
    }
    assertThat(network.requestCount()).isBetween(4, 6);
  }

  @Test
  void lostGrantWithholdsCapacityForOneLoanDurationOnly() {
    LoanNetwork network = new LoanNetwork(2, LIMIT);
    network.setDemand(0, LIMIT);
    network.borrow(0);
    network.runStep(2);
    network.loseAll();
    assertThat(network.totalShare()).isLessThan(LIMIT);
    network.advance(LoanNetwork.withheldNanos());
    assertThat(network.totalShare()).isEqualTo(LIMIT);
  }

  @Test
  void restartedLenderEndsTheLoanAtTheNextRenewal() {
    LoanNetwork network = new LoanNetwork(2, LIMIT);
    network.setDemand(0, LIMIT);
    network.borrow(0);
    network.deliverAll();
    network.restart(1);
    assertThat(network.totalShare()).isGreaterThan(LIMIT);
    network.advance(1_100 * LoanNetwork.MS);
    network.tick(0);
    network.deliverAll();
    assertThat(network.totalShare()).isEqualTo(LIMIT);
  }

  @Provide
  Arbitrary<List<Integer>> stepSequences() {
    return Arbitraries.integers()
        .between(0, 999_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(150)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  @Property(seed = "4109", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
  void sharesNeverExceedTheLimitAndWithheldCapacityReturns(
      @ForAll @IntRange(min = 2, max = 5) int routers,
      @ForAll @IntRange(min = 0, max = 1_100) int limit,
      @ForAll("stepSequences") List<Integer> steps) {
    LoanNetwork network = new LoanNetwork(routers, limit);
    for (int step : steps) {
      network.runStep(step);
      assertThat(network.totalShare()).isLessThanOrEqualTo(limit);
    }
    network.loseAll();
    network.advance(LoanNetwork.withheldNanos());
    assertThat(network.totalShare()).isEqualTo(limit);
    for (int i = 0; i < routers; i++) {
      network.tick(i);
    }
    assertThat(network.loanCount()).isZero();
  }

  @Property(seed = "4110", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
  void overshootAfterRestartsStaysWithinTheSharesOfTheRestartedRouters(
      @ForAll @IntRange(min = 2, max = 5) int routers,
      @ForAll("stepSequences") List<Integer> steps) {
    LoanNetwork network = new LoanNetwork(routers, LIMIT);
    for (int step : steps) {
      if (step % 17 == 0) {
        network.restart(step / 17 % routers);
      } else {
        network.runStep(step);
      }
      assertThat(network.totalShare()).isLessThanOrEqualTo(network.maxTotalShare());
    }
    network.loseAll();
    network.advance(LoanNetwork.withheldNanos());
    assertThat(network.totalShare()).isEqualTo(LIMIT);
  }

  @Property(seed = "4111", tries = 5_000, shrinking = ShrinkingMode.BOUNDED)
  void disagreementOnTheNumberOfRoutersIsBoundedByTheirRatio(
      @ForAll("stepSequences") List<Integer> steps) {
    LoanNetwork network = new LoanNetwork(5, LIMIT);
    long bound = LIMIT * 5 / 4 + network.size();
    for (int step : steps) {
      if (step % 17 == 0) {
        network.setRouterCount(step / 17 % 4, 4 + step / 68 % 2);
      } else {
        network.runStep(step);
      }
      assertThat(network.totalShare()).isLessThanOrEqualTo(bound);
    }
  }

  /**
   * Checks that random step sequences grant loans; without loans the properties above test nothing.
   */
  @Test
  void randomStepSequencesContainGrants() {
    int sequencesWithGrants = 0;
    for (long seed = 0; seed < 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      LoanNetwork network = new LoanNetwork(4, LIMIT);
      random.ints(150, 0, 1_000_000).forEach(network::runStep);
      sequencesWithGrants += network.grantCount() >= 2 ? 1 : 0;
    }
    assertThat(sequencesWithGrants).isGreaterThan(150);
  }
}
