package org.pollenrock.gateway;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SpeedMeter;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.placement.RendezvousHash;
import org.pollenrock.core.speed.SpeedReport;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.ServerSpeed;

/**
 * Owns the measured speeds of servers: records complete responses, logs servers that become slow,
 * fast or usual, and exchanges the measurements with the other instances.
 *
 * <p>Only servers that differ from the others of their service are announced, so nothing is sent
 * where servers are alike. All methods must be called on the event loop.
 */
final class ServerSpeedTask implements NewsPart {
  /** Interval at which measurements are repeated. */
  private static final long INTERVAL_NANOS = 1_000_000_000L;

  /** Maximum number of servers in one message, which then fits into a packet with other news. */
  private static final int MAX_SERVERS = 30;

  /** Largest relative time that is sent or accepted. */
  private static final int MAX_PERCENT = 1_000;

  /** Largest number of responses that is sent or accepted. */
  private static final int MAX_RESPONSES = 1_000;

  /** Largest limit that is accepted. */
  private static final int MAX_LIMIT = 1 << 20;

  private final SpeedMeter meter;
  private final Fleet fleet;
  private final EventLog log;
  private long announcedNanos = System.nanoTime();
  private int firstAnnounced;

  ServerSpeedTask(SpeedMeter meter, Fleet fleet, EventLog log) {
    this.meter = meter;
    this.fleet = fleet;
    this.log = log;
  }

  /** Records a complete response of an engine, whose start took a given time. */
  void recordPrompt(Selection.Chosen choice, long startNanos, long nowNanos) {
    double before = choice.backend().speed().factor();
    meter.recordPrompt(choice, startNanos, nowNanos);
    logChange(choice.backend(), before);
  }

  /** Records a complete response of a plain server that had a given load. */
  void recordPlain(Backend server, double load, long elapsedNanos, long nowNanos) {
    double before = server.speed().factor();
    meter.recordPlain(server, load, elapsedNanos, nowNanos);
    logChange(server, before);
  }

  @Override
  public void addNews(FleetNews.Builder message, long nowNanos) {
    if (nowNanos - announcedNanos < INTERVAL_NANOS) {
      return;
    }
    announcedNanos = nowNanos;
    List<ServerSpeed> speeds = new ArrayList<>();
    for (Backend server : fleet.all()) {
      SpeedReport report = server.speed().ownReport(nowNanos);
      if (report.weight() >= 1) {
        speeds.add(encode(server, report));
      }
    }
    for (int i = 0; i < Math.min(MAX_SERVERS, speeds.size()); i++) {
      message.addSpeeds(speeds.get((firstAnnounced + i) % speeds.size()));
    }
    firstAnnounced = speeds.size() > MAX_SERVERS ? firstAnnounced + MAX_SERVERS : 0;
  }

  @Override
  public void apply(FleetNews message, InstanceId sender, long nowNanos) {
    if (message.getSpeedsCount() == 0) {
      return;
    }
    long peer = RendezvousHash.hash(sender.value());
    for (ServerSpeed speed : message.getSpeedsList()) {
      if (isValid(speed)) {
        fleet
            .findByIdHash(speed.getServer())
            .filter(server -> server.entry().startMillis() == speed.getStartMs())
            .ifPresent(server -> applyPeer(server, peer, speed, nowNanos));
      }
    }
  }

  private void applyPeer(Backend server, long peer, ServerSpeed speed, long nowNanos) {
    double before = server.speed().factor();
    server
        .speed()
        .applyPeer(
            peer,
            new SpeedReport(speed.getPercent() / 100.0, speed.getResponses(), speed.getLimit()),
            nowNanos);
    logChange(server, before);
  }

  private static boolean isValid(ServerSpeed speed) {
    return speed.getPercent() >= 1
        && speed.getPercent() <= MAX_PERCENT
        && speed.getResponses() >= 1
        && speed.getResponses() <= MAX_RESPONSES
        && speed.getLimit() >= 0
        && speed.getLimit() <= MAX_LIMIT;
  }

  private static ServerSpeed encode(Backend server, SpeedReport report) {
    return ServerSpeed.newBuilder()
        .setServer(server.idHash())
        .setStartMs(server.entry().startMillis())
        .setPercent(Math.clamp(Math.round(report.ratio() * 100), 1, MAX_PERCENT))
        .setResponses((int) Math.min(MAX_RESPONSES, report.weight()))
        .setLimit(report.limit())
        .build();
  }

  /** Logs a change between slow, usual and fast. */
  private void logChange(Backend server, double factorBefore) {
    double factor = server.speed().factor();
    if (Math.signum(factor - 1) != Math.signum(factorBefore - 1)) {
      log.line("server_speed")
          .with("server", server.entry().id())
          .with("service", server.entry().service())
          .with("time_percent", Math.round(factor * 100))
          .with("limit", server.speed().limit().orElse(0))
          .with("slots", server.slots())
          .write();
    }
  }
}
