package org.pollenrock.gateway;

import org.pollenrock.core.ratelimit.ServerRateLimits;

/** Registers the gauges of an instance. */
final class GatewayGauges {
  private GatewayGauges() {}

  /** Registers gauges that read the state of a gateway. */
  static void register(
      GatewayMetrics metrics,
      Gateway gateway,
      BodyMemory requestMemory,
      CallerListener callers,
      QuarantineTask quarantine,
      ServerRateLimits rateLimits,
      EventLog log) {
    metrics.registerGauge(
        "pollenrock_waiting", "Requests that wait", gateway.dispatcher()::waitingRequests);
    metrics.registerGauge(
        "pollenrock_waiting_instances",
        "Other instances that announce waiting requests",
        () -> gateway.dispatcher().queues().waitingPeers(System.nanoTime()));
    metrics.registerGauge(
        "pollenrock_expected_wait_ms",
        "Longest time until the waiting requests of an urgency are sent",
        () -> gateway.dispatcher().queues().longestWaitMillis(System.nanoTime()));
    metrics.registerGauge(
        "pollenrock_held_bytes", "Bytes of bodies held", gateway::heldRequestBytes);
    metrics.registerGauge(
        "pollenrock_requests_over_memory",
        "Requests that were refused since no memory was left for their bodies",
        requestMemory::failureCount);
    metrics.registerGauge(
        "pollenrock_response_held_bytes",
        "Bytes of responses of servers held",
        gateway::heldResponseBytes);
    metrics.registerGauge(
        "pollenrock_responses_over_memory",
        "Responses of servers that ended since no memory was left",
        gateway::failedResponseReservations);
    metrics.registerGauge("pollenrock_log_dropped", "Log lines dropped", log::droppedLines);
    metrics.registerGauge(
        "pollenrock_callers", "Open connections of callers", callers::openConnections);
    metrics.registerGauge(
        "pollenrock_config_version",
        "Configuration in force",
        () -> gateway.configs().current().map(config -> config.version()).orElse(0L));
    FleetGauges.register(metrics, gateway.fleet(), rateLimits, gateway.weightsTargets());
    metrics.registerGauge(
        "pollenrock_prefixes_known",
        "Prefixes whose servers are known",
        gateway.prefixDirectory()::size);
    metrics.registerGauge(
        "pollenrock_parts_quarantined",
        "Parts of prompts whose requests are refused",
        quarantine::quarantinedParts);
    metrics.registerGauge(
        "pollenrock_resends_left",
        "Further sends that the retry budgets of this instance leave",
        () -> gateway.dispatcher().remainingResends(System.nanoTime()));
  }
}
