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
      ejector.observe(server, false, now);
    }
  }

  @Test
  void consecutiveFailuresEjectAndOneTrialDecides() {
    List<BackendServerId> three = servers(3);
    ejector.setMembers(three, 0);
    fail(ejector, three.get(0), 4, 0);
    assertThat(ejector.verdict(three.get(0), 0)).isEqualTo(ServerVerdict.ALLOWED);
    fail(ejector, three.get(0), 1, 0);
    assertThat(ejector.verdict(three.get(0), SECOND - 1)).isEqualTo(ServerVerdict.EXCLUDED);
    assertThat(ejector.startTrial(three.get(0), SECOND)).isTrue();
    assertThat(ejector.startTrial(three.get(0), SECOND)).isFalse();
    ejector.observe(three.get(0), true, SECOND);
    assertThat(ejector.verdict(three.get(0), SECOND)).isEqualTo(ServerVerdict.EXCLUDED);
    ejector.trialEnded(three.get(0), true, SECOND);
    assertThat(ejector.verdict(three.get(0), SECOND)).isEqualTo(ServerVerdict.ALLOWED);
  }

  @Test
  void ejectionDoublesUpToItsBoundAndALostTrialIsRepeated() {
    List<BackendServerId> three = servers(3);
    ejector.setMembers(three, 0);
    fail(ejector, three.get(0), 5, 0);
    long now = 0;
    for (long expected : new long[] {1, 2, 4, 8, 8}) {
      long end = now + expected * SECOND;
      assertThat(ejector.verdict(three.get(0), end - 1)).isEqualTo(ServerVerdict.EXCLUDED);
      assertThat(ejector.startTrial(three.get(0), end)).isTrue();
      ejector.trialEnded(three.get(0), false, end);
      now = end;
    }
    long trial = now + 8 * SECOND;
    assertThat(ejector.startTrial(three.get(0), trial)).isTrue();
    assertThat(ejector.startTrial(three.get(0), trial + 2 * SECOND)).isFalse();
    assertThat(ejector.startTrial(three.get(0), trial + 2 * SECOND + 1)).isTrue();
  }

  @Test
  void lowSuccessRateEjectsOnlyWhenOthersDoBetter() {
    List<BackendServerId> three = servers(3);
    ejector.setMembers(three, 0);
    OutlierEjector allBad = new OutlierEjector(SETTINGS);
    allBad.setMembers(three, 0);
    for (int i = 0; i < 60; i++) {
      boolean success = i % 2 == 0;
      ejector.observe(three.get(0), success, 0);
      ejector.observe(three.get(1), true, 0);
      ejector.observe(three.get(2), true, 0);
      three.forEach(server -> allBad.observe(server, success, 0));
    }
    assertThat(ejector.verdict(three.get(0), 0)).isEqualTo(ServerVerdict.EXCLUDED);
    assertThat(ejector.ejectedCount()).isEqualTo(1);
    assertThat(allBad.ejectedCount()).isZero();
  }

  @Test
  void restartForgetsFailures() {
    List<BackendServerId> three = servers(3);
    ejector.setMembers(three, 0);
    fail(ejector, three.get(0), 5, 0);
    ejector.restarted(three.get(0), 1);
    assertThat(ejector.verdict(three.get(0), 1)).isEqualTo(ServerVerdict.ALLOWED);
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
    checked.setMembers(servers(count), 0);
    long now = 0;
    for (int step : program) {
      BackendServerId server = new BackendServerId("s" + step / 10 % 9);
      switch (step % 10) {
        case 0 -> now += step * 1_000_000L;
        case 1 -> checked.observe(server, true, now);
        case 2 -> checked.startTrial(server, now);
        case 3 -> checked.trialEnded(server, step % 20 == 3, now);
        case 4 -> {
          count = 1 + step / 10 % 9;
          checked.setMembers(servers(count), now);
        }
        default -> fail(checked, server, 5, now);
      }
      assertThat(checked.ejectedCount()).isLessThanOrEqualTo(count / 3);
      assertThat(checked.ejectedCount()).isLessThan(count);
    }
  }
}
