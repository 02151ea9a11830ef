package org.pollenrock.router.operator;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;

/** Counters and gauges of one router, in a registry of its own. */
public final class RouterMetrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("pollenrock_requests_total")
          .help("Requests that ended, by what served them and how they ended.")
          .labelNames("route", "result")
          .register(registry);
  private final Counter failedAttempts =
      Counter.builder()
          .name("pollenrock_failed_attempts_total")
          .help("Attempts that failed, by server and kind of failure.")
          .labelNames("server", "kind")
          .register(registry);
  private final Counter repairedStreams =
      Counter.builder()
          .name("pollenrock_repaired_streams_total")
          .help("Broken streams that went on, on the same server or another.")
          .labelNames("how")
          .register(registry);
  private final Counter promptTokens =
      Counter.builder()
          .name("pollenrock_prompt_tokens_total")
          .help("Prompt tokens of answered requests, as reported by engines.")
          .register(registry);
  private final Counter cachedTokens =
      Counter.builder()
          .name("pollenrock_cached_prompt_tokens_total")
          .help("Prompt tokens of answered requests that were found in a prefix cache.")
          .register(registry);

  /**
   * Counts a request that ended.
   *
   * @param route {@code model}, {@code service} or {@code none}
   * @param result {@code completed}, {@code caller_gone} or the code of the error
   */
  public void requestEnded(String route, String result) {
    requests.labelValues(route, result).inc();
  }

  /**
   * Counts a failed attempt.
   *
   * @param server the server
   * @param kind kind of failure
   */
  public void attemptFailed(String server, String kind) {
    failedAttempts.labelValues(server, kind).inc();
  }

  /**
   * Counts a broken stream that goes on.
   *
   * @param how {@code resumed} or {@code continued}
   */
  public void streamRepaired(String how) {
    repairedStreams.labelValues(how).inc();
  }

  /**
   * Counts the prompt tokens of an answer.
   *
   * @param prompt all prompt tokens
   * @param cached those found in the cache
   */
  public void answered(long prompt, long cached) {
    promptTokens.inc(Math.max(0, prompt));
    cachedTokens.inc(Math.max(0, cached));
  }

  /**
   * Registers a gauge that is read at each scrape.
   *
   * @param name full name
   * @param help explanation
   * @param value read on the operator's event loop
   */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * The registry of these metrics.
   *
   * @return the registry, which a scrape reads
   */
  public PrometheusRegistry registry() {
    return registry;
  }
}
