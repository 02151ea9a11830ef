package org.pollenrock.core.retry;

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
import org.pollenrock.core.model.BackendServerId;

/** Guards against requests to failing servers, and against ejecting too many servers. */
class OutlierEjectorTest {
  private static final long SECOND = 1_000_000_000L;
  private static final EjectionSettings SETTINGS =
      new EjectionSettings(5, 20, 0.3, 10 * SECOND, SECOND, 8 * SECOND, 2 * SECOND);

  private final OutlierEjector ejector = new OutlierEjector(SETTINGS);

  private static List<BackendServerId> servers(int count) {
    List<BackendServerId> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(new BackendServerId("s" + i));
    }
    return servers;
  }

  private static void recordFailures(
      OutlierEjector ejector, BackendServerId server, int times, long now) {
    for (int i = 0; i < times; i++) {
      ejector.recordOutcome(server, false, now);
    }
  }

  @Test
  void consecutiveFailuresEjectAndSuccessfulTrialReinstates() {
    List<BackendServerId> threeServers = servers(3);
    ejector.setServers(threeServers, 0);
    recordFailures(ejector, threeServers.get(0), 4, 0);
    assertThat(ejector.ejectionStatus(threeServers.get(0), 0)).isEqualTo(EjectionStatus.ALLOWED);
    recordFailures(ejector, threeServers.get(0), 1, 0);
    assertThat(ejector.ejectionStatus(threeServers.get(0), SECOND - 1))
        .isEqualTo(EjectionStatus.EXCLUDED);
    assertThat(ejector.tryStartTrial(threeServers.get(0), SECOND)).isTrue();
    assertThat(ejector.tryStartTrial(threeServers.get(0), SECOND)).isFalse();
    ejector.recordOutcome(threeServers.get(0), true, SECOND);
    assertThat(ejector.ejectionStatus(threeServers.get(0), SECOND))
        .isEqualTo(EjectionStatus.EXCLUDED);
    ejector.recordTrialOutcome(threeServers.get(0), true, SECOND);
    assertThat(ejector.ejectionStatus(threeServers.get(0), SECOND))
        .isEqualTo(EjectionStatus.ALLOWED);
  }

  @Test
  void ejectionDoublesUpToItsMaximumAndTrialIsRepeatedAfterItsTimeout() {
    List<BackendServerId> threeServers = servers(3);
    ejector.setServers(threeServers, 0);
    recordFailures(ejector, threeServers.get(0), 5, 0);
    long now = 0;
    for (long expected : new long[] {1, 2, 4, 8, 8}) {
      long end = now + expected * SECOND;
      assertThat(ejector.ejectionStatus(threeServers.get(0), end - 1))
          .isEqualTo(EjectionStatus.EXCLUDED);
      assertThat(ejector.tryStartTrial(threeServers.get(0), end)).isTrue();
      ejector.recordTrialOutcome(threeServers.get(0), false, end);
      now = end;
    }
    long trial = now + 8 * SECOND;
    assertThat(ejector.tryStartTrial(threeServers.get(0), trial)).isTrue();
    assertThat(ejector.tryStartTrial(threeServers.get(0), trial + 2 * SECOND)).isFalse();
    assertThat(ejector.tryStartTrial(threeServers.get(0), trial + 2 * SECOND + 1)).isTrue();
  }

  @Test
  void lowSuccessRateEjectsOnlyIfOtherServersDoBetter() {
    List<BackendServerId> threeServers = servers(3);
    ejector.setServers(threeServers, 0);
    OutlierEjector allFailing = new OutlierEjector(SETTINGS);
    allFailing.setServers(threeServers, 0);
    for (int i = 0; i < 60; i++) {
      boolean success = i % 2 == 0;
      ejector.recordOutcome(threeServers.get(0), success, 0);
      ejector.recordOutcome(threeServers.get(1), true, 0);
      ejector.recordOutcome(threeServers.get(2), true, 0);
      threeServers.forEach(server -> allFailing.recordOutcome(server, success, 0));
    }
    assertThat(ejector.ejectionStatus(threeServers.get(0), 0)).isEqualTo(EjectionStatus.EXCLUDED);
    assertThat(ejector.ejectedCount()).isEqualTo(1);
    assertThat(allFailing.ejectedCount()).isZero();
  }

  @Test
  void resetDiscardsFailures() {
    List<BackendServerId> threeServers = servers(3);
    ejector.setServers(threeServers, 0);
    recordFailures(ejector, threeServers.get(0), 5, 0);
    ejector.resetServer(threeServers.get(0), 1);
    assertThat(ejector.ejectionStatus(threeServers.get(0), 1)).isEqualTo(EjectionStatus.ALLOWED);
  }

  /** Lists of operations: the last digit selects the operation, the other digits the server. */
  @Provide
  Arbitrary<List<Integer>> operationLists() {
    return Arbitraries.integers()
        .between(0, 9_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(200)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  @Property(seed = "4106", tries = 3_000, shrinking = ShrinkingMode.BOUNDED)
  void atMostAThirdOfTheServersIsEjectedAndNeverTheLast(
      @ForAll("operationLists") List<Integer> operations) {
    OutlierEjector testedEjector = new OutlierEjector(SETTINGS);
    int count = 7;
    testedEjector.setServers(servers(count), 0);
    long now = 0;
    for (int operation : operations) {
      BackendServerId server = new BackendServerId("s" + operation / 10 % 9);
      switch (operation % 10) {
        case 0 -> now += operation * 1_000_000L;
        case 1 -> testedEjector.recordOutcome(server, true, now);
        case 2 -> testedEjector.tryStartTrial(server, now);
        case 3 -> testedEjector.recordTrialOutcome(server, operation % 20 == 3, now);
        case 4 -> {
          count = 1 + operation / 10 % 9;
          testedEjector.setServers(servers(count), now);
        }
        default -> recordFailures(testedEjector, server, 5, now);
      }
      assertThat(testedEjector.ejectedCount()).isLessThanOrEqualTo(count / 3);
      assertThat(testedEjector.ejectedCount()).isLessThan(count);
    }
  }
}
