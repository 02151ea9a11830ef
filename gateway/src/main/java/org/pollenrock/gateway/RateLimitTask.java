package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.ratelimit.RateAnnouncement;
import org.pollenrock.core.ratelimit.RateNotice;
import org.pollenrock.core.ratelimit.RateShares;
import org.pollenrock.core.ratelimit.ServerRateLimits;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.ServerRate;

/**
 * Owns the request rates that servers name, logs them, and exchanges them with the other instances.
 *
 * <p>All methods must be called on the event loop.
 */
final class RateLimitTask implements ServerRateLimits.Listener {
  private final Fleet fleet;
  private final ServerProtocol serverProtocol;
  private final EventLog log;
  private final RateShares shares;
  private final ServerRateLimits limits;

  /**
   * Creates the task of an instance that knows no other instances yet.
   *
   * @param ownId identity of this instance
   * @param fleet the known servers
   * @param serverProtocol decodes the metadata of responses
   * @param log the event log
   */
  RateLimitTask(InstanceId ownId, Fleet fleet, ServerProtocol serverProtocol, EventLog log) {
    this.fleet = fleet;
    this.serverProtocol = serverProtocol;
    this.log = log;
    shares = new RateShares(ownId, System.nanoTime());
    limits = new ServerRateLimits(shares, this);
  }

  /** Returns the limits. */
  ServerRateLimits limits() {
    return limits;
  }

  /** Applies a complete list of the instances, including this one. */
  void updateInstances(List<Peer> instances) {
    shares.applyInstances(instances.stream().map(Peer::id).toList(), System.nanoTime());
  }

  /** Records that a message came from an instance that the list of instances lacks. */
  void recordUnknownInstance() {
    shares.recordUnknownInstance();
  }

  /** Records the notice of a response to a request that was sent at a given time. */
  void recordNotice(Backend backend, RateNotice notice, long sentNanos) {
    limits.recordNotice(backend, notice, sentNanos, System.nanoTime());
  }

  /** Records the notice of a response to a probe, if it names a limit. */
  void recordProbeResponse(Backend backend, HttpHeaders headers) {
    RateNotice notice = serverProtocol.decodeRate(headers);
    long now = System.nanoTime();
    limits.recordNotice(backend, notice, now, now);
  }

  /** Takes the message with the rates that have to be sent to all other instances now. */
  Optional<FleetNews.Builder> takeNews(long nowNanos) {
    List<RateAnnouncement> announcements = limits.takeAnnouncements(nowNanos);
    if (announcements.isEmpty()) {
      return Optional.empty();
    }
    FleetNews.Builder message = FleetNews.newBuilder();
    announcements.forEach(announcement -> message.addRates(encode(announcement)));
    return Optional.of(message);
  }

  /** Applies the rates that another instance has sent. */
  void apply(FleetNews message, long nowNanos) {
    for (ServerRate rate : message.getRatesList()) {
      if (!rate.hasPerSecond()
          || rate.getPerSecond() >= 0 && Double.isFinite(rate.getPerSecond())) {
        limits.applyAnnouncement(decode(rate), nowNanos);
      }
    }
  }

  /** Forgets what is outdated. */
  void sweep(long nowNanos) {
    limits.removeOutdated(fleet.all(), nowNanos);
  }

  @Override
  public void rateChanged(long server, RateNotice notice, boolean announced) {
    EventLog.Line line =
        log.line("server_rate")
            .with("server", serverName(server))
            .with("source", announced ? "peer" : "server");
    switch (notice) {
      case RateNotice.Limited(double requestsPerSecond) -> {
        OptionalDouble ownRate = limits.ownRate(server);
        line.with("outcome", "limited")
            .with("per_second", Double.toString(requestsPerSecond))
            .with("own_per_second", Double.toString(ownRate.orElse(0)));
      }
      case RateNotice.Unlimited() -> line.with("outcome", "unlimited");
      case RateNotice.Unknown() -> line.with("outcome", "unknown");
    }
    line.write();
  }

  private String serverName(long server) {
    return fleet
        .findByIdHash(server)
        .map(backend -> backend.entry().id())
        .orElseGet(() -> Long.toHexString(server));
  }

  private static ServerRate encode(RateAnnouncement announcement) {
    ServerRate.Builder rate =
        ServerRate.newBuilder()
            .setServer(announcement.server())
            .setStartMs(announcement.startMillis())
            .setAgeMs(
                Math.clamp(
                    TimeUnit.NANOSECONDS.toMillis(announcement.ageNanos()), 0, Integer.MAX_VALUE));
    if (announcement.notice() instanceof RateNotice.Limited(double requestsPerSecond)) {
      rate.setPerSecond(requestsPerSecond);
    }
    return rate.build();
  }

  private static RateAnnouncement decode(ServerRate rate) {
    return new RateAnnouncement(
        rate.getServer(),
        rate.getStartMs(),
        rate.hasPerSecond()
            ? new RateNotice.Limited(rate.getPerSecond())
            : new RateNotice.Unlimited(),
        TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(rate.getAgeMs())));
  }
}
