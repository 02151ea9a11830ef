package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.route.RouteKind;

/** Tests the text of the metrics, and that recording them needs no thread of its own. */
class GatewayMetricsTest {
  private final GatewayMetrics metrics = new GatewayMetrics();

  @Test
  void eventsAreCountedByTheirLabels() {
    for (RouteKind kind : RouteKind.values()) {
      metrics.recordRequest(kind, "streamed", 30_000_000);
      metrics.recordRequest(kind, "streamed", 30_000_000);
      metrics.recordSend(kind, Selection.Reason.HOME, 0);
      metrics.recordFirstByte(kind, 20_000_000);
    }
    metrics.recordLoopDelay(1_000_000);

    String text = new String(metrics.toPrometheusText(), StandardCharsets.UTF_8);
    for (RouteKind kind : RouteKind.values()) {
      String label = "kind=\"" + kind.name() + "\"";
      assertThat(text)
          .contains("pollenrock_requests_total{" + label + ",outcome=\"streamed\"} 2.0")
          .contains("pollenrock_sends_total{" + label + ",reason=\"HOME\"} 1.0")
          .contains("pollenrock_request_seconds_bucket{" + label + ",le=\"0.025\"} 0")
          .contains("pollenrock_request_seconds_bucket{" + label + ",le=\"0.05\"} 2")
          .contains("pollenrock_first_byte_seconds_count{" + label + "} 1")
          .contains("pollenrock_queue_seconds_count{" + label + "} 1");
    }
    assertThat(text).contains("pollenrock_loop_delay_seconds_count 1");
  }

  // Guards against the thread that the library starts to sample exemplars, which nothing reads.
  @Test
  void recordingStartsNoThread() {
    metrics.recordRequest(RouteKind.values()[0], "streamed", 30_000_000);
    metrics.recordLoopDelay(1_000_000);

    assertThat(Thread.getAllStackTraces().keySet())
        .extracting(Thread::getName)
        .noneMatch(name -> name.startsWith("prometheus-metrics-scheduler"));
  }
}
