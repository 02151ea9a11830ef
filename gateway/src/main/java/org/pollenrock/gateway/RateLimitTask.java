package org.pollenrock.gateway;

import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.ratelimit.RateNotice;
import org.pollenrock.core.ratelimit.ServerRateLimits;

/** Records the request rates that servers name in their responses, and logs them. */
final class RateLimitTask {
  private final ServerRateLimits limits;
  private final EventLog log;

  RateLimitTask(ServerRateLimits limits, EventLog log) {
    this.limits = limits;
    this.log = log;
  }

  /** Records the notice of a response. */
  void recordNotice(Backend backend, RateNotice notice) {
    if (limits.recordNotice(backend, notice)) {
      logChange(backend, notice);
    }
  }

  private void logChange(Backend backend, RateNotice notice) {
    EventLog.Line line = log.line("server_rate").with("server", backend.entry().id());
    switch (notice) {
      case RateNotice.Limited(double requestsPerSecond) ->
          line.with("outcome", "limited").with("per_second", Double.toString(requestsPerSecond));
      case RateNotice.Unlimited() -> line.with("outcome", "unlimited");
      case RateNotice.Unknown() -> line.with("outcome", "unknown");
    }
    line.write();
  }
}
