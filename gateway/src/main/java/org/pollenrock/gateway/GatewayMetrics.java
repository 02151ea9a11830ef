package org.pollenrock.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.pollenrock.core.dispatch.DispatchResult;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SendFailure;
import org.pollenrock.core.response.HeadFault;
import org.pollenrock.core.route.RouteKind;

/**
 * Counters, gauges and latency histograms of one instance.
 *
 * <p>No label has values that callers choose, so that callers can't create time series.
 */
public final class GatewayMetrics {
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 16
  };

  /** Maximum number of customers with time series of their own. */
  private static final int MAX_QUOTA_CUSTOMERS = 200;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      counter("pollenrock_requests", "Requests that ended", "kind", "outcome");
  private final Counter refusals = counter("pollenrock_refusals", "Requests refused", "cause");
  private final Counter quotaRefusals =
      counter("pollenrock_quota_refused", "Requests over the quota of their customer", "customer");
  private final Set<String> quotaCustomers = new HashSet<>();
  private final Counter sends =
      counter("pollenrock_sends", "Requests sent to servers", "kind", "reason");
  private final Counter sendFailures =
      counter("pollenrock_send_failures", "Failed sends to servers", "kind", "failure");
  private final Counter connects =
      counter("pollenrock_connects", "Connections opened to servers", "outcome");
  private final Counter serversLeaving =
      counter("pollenrock_servers_leaving", "Servers whose responses told that they leave");

  private final Counter serverHolds =
      counter("pollenrock_server_holds", "Responses in which servers asked for a pause");

  private final Counter unreadablePaces =
      counter("pollenrock_paces_unreadable", "Load reports whose pace could not be read");

  private final Counter foreignResponses =
      counter("pollenrock_foreign_answers", "Answers that belonged to another request");
  private final Counter malformedHeads =
      counter(
          "pollenrock_malformed_heads",
          "Response heads that are not those of one response",
          "fault");
  private final Counter strayByteCloses =
      counter("pollenrock_stray_bytes", "Connections closed for bytes that belong to no request");
  private final Counter probes =
      counter("pollenrock_probes", "Probes of missing servers", "outcome");
  private final Counter storeCalls =
      counter("pollenrock_store_calls", "Calls to the platform's store", "call", "outcome");
  private final Counter orders = counter("pollenrock_orders", "Orders to engines", "answer");
  private final Histogram firstByteTime =
      histogram("pollenrock_first_byte_seconds", "Time to the first byte of an answer");
  private final Histogram requestTime =
      histogram("pollenrock_request_seconds", "Time from a read request to the end of its answer");
  private final Histogram queueTime =
      histogram("pollenrock_queue_seconds", "Time that requests waited for a server");

  private final Histogram loopDelay =
      Histogram.builder()
          .name("pollenrock_loop_delay_seconds")
          .help("Time by which the event loop runs periodic work late")
          .classicOnly()
          .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
          .withoutExemplars()
          .register(registry);

  /** Creates the metrics with all values at zero. */
  public GatewayMetrics() {}

  /**
   * Registers a gauge whose value is read each time the metrics are scraped.
   *
   * @param name name of the metric
   * @param help help text of the metric
   * @param value supplies the value
   */
  public void registerGauge(String name, String help, Supplier<Number> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.get().doubleValue()))
        .register(registry);
  }

  void recordRequest(RouteKind kind, String outcome, long totalNanos) {
    requests.labelValues(kind.name(), outcome).inc();
    requestTime.labelValues(kind.name()).observe(totalNanos / 1e9);
  }

  void recordRefusal(DispatchResult.Cause cause) {
    refusals.labelValues(cause.name()).inc();
  }

  /** Counts a request over a quota; customers beyond a maximum number share one label value. */
  void recordQuotaRefusal(String customer) {
    boolean own = quotaCustomers.contains(customer) || quotaCustomers.size() < MAX_QUOTA_CUSTOMERS;
    if (own) {
      quotaCustomers.add(customer);
    }
    quotaRefusals.labelValues(own ? customer : "others").inc();
  }

  void recordSend(RouteKind kind, Selection.Reason reason, long waitedNanos) {
    sends.labelValues(kind.name(), reason.name()).inc();
    queueTime.labelValues(kind.name()).observe(waitedNanos / 1e9);
  }

  void recordSendFailure(RouteKind kind, SendFailure failure) {
    sendFailures.labelValues(kind.name(), failure.name()).inc();
  }

  void recordFirstByte(RouteKind kind, long nanos) {
    firstByteTime.labelValues(kind.name()).observe(nanos / 1e9);
  }

  void recordConnect(boolean success) {
    connects.labelValues(success ? "opened" : "failed").inc();
  }

  void recordStrayBytes() {
    strayByteCloses.inc();
  }

  void recordProbe(String outcome) {
    probes.labelValues(outcome).inc();
  }

  void recordLoopDelay(long nanos) {
    loopDelay.observe(nanos / 1e9);
  }

  void recordServerLeaving() {
    serversLeaving.inc();
  }

  void recordServerHold() {
    serverHolds.inc();
  }

  void recordUnreadablePace() {
    unreadablePaces.inc();
  }

  void recordMalformedHead(HeadFault fault) {
    malformedHeads.labelValues(fault.name()).inc();
  }

  void recordForeignResponse() {
    foreignResponses.inc();
  }

  /**
   * Counts a call to the platform's store.
   *
   * @param call name of the call
   * @param outcome HTTP status, or how the call failed
   */
  public void recordStoreCall(String call, String outcome) {
    storeCalls.labelValues(call, outcome).inc();
  }

  /**
   * Counts the answer to an order.
   *
   * @param answer name of the answer
   */
  public void recordOrder(String answer) {
    orders.labelValues(answer).inc();
  }

  /**
   * Writes all metrics in the Prometheus text format.
   *
   * @return the text
   */
  public byte[] toPrometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(4096);
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toByteArray();
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder()
        .name(name)
        .help(help)
        .labelNames(labels)
        .withoutExemplars()
        .register(registry);
  }

  private Histogram histogram(String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
        .labelNames("kind")
        .withoutExemplars()
        .register(registry);
  }
}
