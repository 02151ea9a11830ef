package org.pollenrock.gateway;

import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.ratelimit.ServerRateLimits;
import org.pollenrock.core.weights.WeightsRollout;
import org.pollenrock.core.weights.WeightsTargets;

/** Gauges of the known backend servers. */
final class FleetGauges {
  private FleetGauges() {}

  /** Registers the gauges. */
  static void register(
      GatewayMetrics metrics,
      Fleet fleet,
      ServerRateLimits rateLimits,
      WeightsTargets weightsTargets) {
    metrics.registerGauge(
        "pollenrock_servers_listed", "Backend servers in the list", () -> fleet.all().size());
    metrics.registerGauge(
        "pollenrock_servers_missing",
        "Backend servers that don't answer",
        () -> fleet.all().stream().filter(Backend::isMissing).count());
    metrics.registerGauge(
        "pollenrock_servers_rate_limited",
        "Backend servers that name a limit of requests",
        rateLimits::limitedServerCount);
    metrics.registerGauge(
        "pollenrock_servers_slow",
        "Backend servers that were measured to be slower than usual",
        () -> fleet.all().stream().filter(server -> server.speed().factor() > 1).count());
    metrics.registerGauge(
        "pollenrock_servers_parallel_limited",
        "Backend servers that do no more work from a number of requests below their slots on",
        () -> fleet.all().stream().filter(server -> server.speed().limit().isPresent()).count());
    metrics.registerGauge(
        "pollenrock_engines_behind",
        "Engines whose weights are older than the named ones",
        () -> WeightsRollout.countOutdated(fleet.all(), weightsTargets));
  }
}
