package org.pollenrock.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.QuarantineListener;

/** Owns the quarantine of parts of prompts, and logs strikes and the parts that enter and leave. */
final class QuarantineTask implements QuarantineListener {
  private static final String STRUCK = "part_struck";

  private final CrashQuarantine quarantine = new CrashQuarantine(this);
  private final EventLog log;
  private final List<QuarantineListener> listeners = new ArrayList<>();

  /** Ids of the quarantined parts whose quarantine was logged, by their hashes. */
  private final Map<Long, String> loggedParts = new LinkedHashMap<>();

  QuarantineTask(EventLog log) {
    this.log = log;
  }

  /** Returns the quarantine. */
  CrashQuarantine quarantine() {
    return quarantine;
  }

  /** Adds a receiver of the announcements of the quarantine. */
  void addListener(QuarantineListener listener) {
    listeners.add(listener);
  }

  /** Returns the number of quarantined parts at the last sweep. */
  int quarantinedParts() {
    return loggedParts.size();
  }

  @Override
  public void struck(CrashQuarantine.Strike strike) {
    logPart(STRUCK, EventLog.Importance.ROUTINE, strike.part());
    listeners.forEach(listener -> listener.struck(strike));
  }

  @Override
  public void cleared(long part, long nanos) {
    log.line("part_cleared", EventLog.Importance.ROUTINE)
        .with("part_hash", Long.toHexString(part))
        .write();
    listeners.forEach(listener -> listener.cleared(part, nanos));
  }

  @Override
  public void quarantined(long part, String partId) {
    logBegin(part);
    listeners.forEach(listener -> listener.quarantined(part, partId));
  }

  @Override
  public void tried(long part, long nanos) {
    logPart("part_tried", EventLog.Importance.ESSENTIAL, part);
    listeners.forEach(listener -> listener.tried(part, nanos));
  }

  @Override
  public void released(long part) {
    listeners.forEach(listener -> listener.released(part));
  }

  /** Logs the parts whose quarantine was announced by others, and those whose quarantine ended. */
  void sweep(long nowNanos) {
    if (quarantine.hasNoStrikes() && loggedParts.isEmpty()) {
      return;
    }
    Set<Long> parts = Set.copyOf(quarantine.quarantinedParts(nowNanos));
    parts.forEach(this::logBegin);
    loggedParts
        .entrySet()
        .removeIf(
            logged -> {
              boolean ended = !parts.contains(logged.getKey());
              if (ended) {
                log.line("part_released")
                    .with("part", logged.getValue())
                    .with("part_hash", Long.toHexString(logged.getKey()))
                    .write();
              }
              return ended;
            });
  }

  private void logBegin(long part) {
    if (!loggedParts.containsKey(part)) {
      logPart("part_quarantined", EventLog.Importance.ESSENTIAL, part);
      loggedParts.put(
          part, quarantine.report(part).map(CrashQuarantine.PartReport::partId).orElse(""));
    }
  }

  private void logPart(String event, EventLog.Importance importance, long part) {
    Optional<CrashQuarantine.PartReport> report = quarantine.report(part);
    List<String> servers = report.map(CrashQuarantine.PartReport::servers).orElse(List.of());
    EventLog.Line line = log.line(event, importance);
    if (!event.equals(STRUCK)) {
      line.with("on_trial", String.valueOf(quarantine.isOnTrial(part)));
    }
    line.with("part", report.map(CrashQuarantine.PartReport::partId).orElse(""))
        .with("part_hash", Long.toHexString(part))
        .with("servers", String.join(",", servers))
        .with("server_count", servers.size())
        .write();
  }
}
