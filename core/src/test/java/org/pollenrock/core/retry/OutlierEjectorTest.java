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

/** Guards against sending on to failing servers, and against ejecting the remaining capacity. */
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

  private static void fail(OutlierEjector ejector, BackendServerId server, int times, long now) {
    for (int i = 0; i < times; i++) {
      ejector.recordOutcome(server, false, now);
    }
  }

  @Test
  void consecutiveFailuresEjectAndOneTrialDecides() {
    List<BackendServerId> three = servers(3);
    ejector.setServers(three, 0);
    fail(ejector, three.get(0), 4, 0);
    assertThat(ejector.ejectionStatus(three.get(0), 0)).isEqualTo(EjectionStatus.ALLOWED);
    fail(ejector, three.get(0), 1, 0);
    assertThat(ejector.ejectionStatus(three.get(0), SECOND - 1)).isEqualTo(EjectionStatus.EXCLUDED);
    assertThat(ejector.tryStartTrial(three.get(0), SECOND)).isTrue();
    assertThat(ejector.tryStartTrial(three.get(0), SECOND)).isFalse();
    ejector.recordOutcome(three.get(0), true, SECOND);
    assertThat(ejector.ejectionStatus(three.get(0), SECOND)).isEqualTo(EjectionStatus.EXCLUDED);
    ejector.recordTrialOutcome(three.get(0), true, SECOND);
    assertThat(ejector.ejectionStatus(three.get(0), SECOND)).isEqualTo(EjectionStatus.ALLOWED);
  }

  @Test
  void ejectionDoublesUpToItsBoundAndALostTrialIsRepeated() {
    List<BackendServerId> three = servers(3);
    ejector.setServers(three, 0);
    fail(ejector, three.get(0), 5, 0);
    long now = 0;
    for (long expected : new long[] {1, 2, 4, 8, 8}) {
      long end = now + expected * SECOND;
      assertThat(ejector.ejectionStatus(three.get(0), end - 1)).isEqualTo(EjectionStatus.EXCLUDED);
      assertThat(ejector.tryStartTrial(three.get(0), end)).isTrue();
      ejector.recordTrialOutcome(three.get(0), false, end);
      now = end;
    }
    long trial = now + 8 * SECOND;
    assertThat(ejector.tryStartTrial(three.get(0), trial)).isTrue();
    assertThat(ejector.tryStartTrial(three.get(0), trial + 2 * SECOND)).isFalse();
    assertThat(ejector.tryStartTrial(three.get(0), trial + 2 * SECOND + 1)).isTrue();
  }

  @Test
  void lowSuccessRateEjectsOnlyWhenOthersDoBetter() {
    List<BackendServerId> three = servers(3);
    ejector.setServers(three, 0);
    OutlierEjector allBad = new OutlierEjector(SETTINGS);
    allBad.setServers(three, 0);
    for (int i = 0; i < 60; i++) {
      boolean success = i % 2 == 0;
      ejector.recordOutcome(three.get(0), success, 0);
      ejector.recordOutcome(three.get(1), true, 0);
      ejector.recordOutcome(three.get(2), true, 0);
      three.forEach(server -> allBad.recordOutcome(server, success, 0));
    }
    assertThat(ejector.ejectionStatus(three.get(0), 0)).isEqualTo(EjectionStatus.EXCLUDED);
    assertThat(ejector.ejectedCount()).isEqualTo(1);
    assertThat(allBad.ejectedCount()).isZero();
  }

  @Test
  void restartForgetsFailures() {
    List<BackendServerId> three = servers(3);
    ejector.setServers(three, 0);
    fail(ejector, three.get(0), 5, 0);
    ejector.resetServer(three.get(0), 1);
    assertThat(ejector.ejectionStatus(three.get(0), 1)).isEqualTo(EjectionStatus.ALLOWED);
  }

  @Provide
  Arbitrary<List<Integer>> programs() {
    return Arbitraries.integers()
        .between(0, 9_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(200)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  @Property(seed = "4106", tries = 3_000, shrinking = ShrinkingMode.BOUNDED)
  void atMostAThirdIsEjectedAndNeverTheLast(@ForAll("programs") List<Integer> program) {
    OutlierEjector checked = new OutlierEjector(SETTINGS);
    int count = 7;
    checked.setServers(servers(count), 0);
    long now = 0;
    for (int step : program) {
      BackendServerId server = new BackendServerId("s" + step / 10 % 9);
      switch (step % 10) {
        case 0 -> now += step * 1_000_000L;
        case 1 -> checked.recordOutcome(server, true, now);
        case 2 -> checked.tryStartTrial(server, now);
        case 3 -> checked.recordTrialOutcome(server, step % 20 == 3, now);
        case 4 -> {
          count = 1 + step / 10 % 9;
          checked.setServers(servers(count), now);
        }
        default -> fail(checked, server, 5, now);
      }
      assertThat(checked.ejectedCount()).isLessThanOrEqualTo(count / 3);
      assertThat(checked.ejectedCount()).isLessThan(count);
    }
  }
}
