package org.pollenrock.bench.workload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against traces that differ between policies or miss the mix of the deployment. */
class WorkloadTest {
  private static final long SEED = 11;
  private static final double SECONDS = 60;

  @ParameterizedTest
  @ValueSource(strings = {"chama", "directorate"})
  void sameSeedGivesTheSameTrace(String name) {
    Deployment deployment = Deployment.named(name);

    assertThat(new Workload(deployment, SEED).trace(5, 2, 1_000))
        .isEqualTo(new Workload(deployment, SEED).trace(5, 2, 1_000));
  }

  @ParameterizedTest
  @ValueSource(strings = {"chama", "directorate"})
  void traceFollowsTheMix(String name) {
    Deployment deployment = Deployment.named(name);
    List<TimedRequest> trace = new Workload(deployment, SEED).trace(SECONDS, SECONDS, 0);
    Map<TrafficKind, Long> counts =
        trace.stream().collect(Collectors.groupingBy(TimedRequest::kind, Collectors.counting()));

    for (Deployment.KindShare share : deployment.mix()) {
      double seen = counts.get(share.kind()) / (double) trace.size();
      assertThat(seen).isBetween(share.share() * 0.8, share.share() * 1.2);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"chama", "directorate"})
  void hotDossierChangesAtTheShift(String name) {
    Deployment deployment = Deployment.named(name);
    List<TimedRequest> trace = new Workload(deployment, SEED).trace(SECONDS, SECONDS / 2, 0);
    long half = (long) (SECONDS / 2 * 1e9);

    assertThat(hottest(trace.stream().filter(request -> request.atNanos() < half).toList()))
        .isNotEqualTo(
            hottest(trace.stream().filter(request -> request.atNanos() >= half).toList()));
  }

  private static String hottest(List<TimedRequest> requests) {
    return requests.stream()
        .filter(request -> request.kind().shape() == TrafficKind.Shape.LONG_MODEL)
        .collect(Collectors.groupingBy(r -> r.prompt().shared(), Collectors.counting()))
        .entrySet()
        .stream()
        .max(Map.Entry.comparingByValue())
        .orElseThrow()
        .getKey();
  }
}
