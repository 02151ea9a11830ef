package org.pollenrock.router.filter;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.operator.RouterMetrics;

/** Tests the end of a request in its last filter. */
class FinishFilterTest {
  private final RouterMetrics metrics = new RouterMetrics();

  /** Guards against a state page without the request while the metrics do not count its end yet. */
  @Test
  void endIsCountedBeforeWhatTheRequestHeldIsReleased() {
    Exchange exchange =
        new Exchange(
            null, null, chainEndingWith(new FinishFilter(metrics)), "r", 0, Optional.empty());
    AtomicLong countedAtRelease = new AtomicLong();
    exchange.atEnd(() -> countedAtRelease.set(endedRequests()));

    exchange.finish(new ExchangeEnd.CallerGone());

    assertThat(countedAtRelease).hasValue(1);
  }

  private static FilterChain chainEndingWith(Filter last) {
    return new FilterChain(
        Arrays.stream(Step.values())
            .map(step -> step == last.step() ? last : new NoOpFilter(step))
            .toList());
  }

  private long endedRequests() {
    return metrics.registry().scrape("pollenrock_requests"::equals).stream()
        .map(MetricSnapshot::getDataPoints)
        .flatMap(List::stream)
        .mapToLong(point -> (long) ((CounterSnapshot.CounterDataPointSnapshot) point).getValue())
        .sum();
  }

  private record NoOpFilter(Step step) implements Filter {
    @Override
    public void apply(Exchange exchange) {}
  }
}
