package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import org.pollenrock.core.collection.BoundedMap;

/** Strikes against one part since its last completion, and its quarantine. */
final class StruckPart {
  /** Maximum number of strikes that are kept; more than a quarantine needs. */
  private static final int MAX_STRIKES = 64;

  /**
   * Strike by one server.
   *
   * @param serverId id of the server, for logs
   * @param nanos time at which the request broke
   */
  private record ServerStrike(String serverId, long nanos) {}

  private final BoundedMap<Long, ServerStrike> strikesByServer = new BoundedMap<>(MAX_STRIKES);
  private String partId = "";
  private boolean quarantinedBefore;
  private long quarantinedSinceNanos;
  private long quarantinedUntilNanos;

  /** Adds a strike; returns false if the server had struck the part already. */
  boolean add(PartQuarantine.Strike strike, String id, String serverId) {
    if (partId.isEmpty()) {
      partId = id;
    }
    return strikesByServer.putIfAbsent(strike.server(), new ServerStrike(serverId, strike.nanos()))
        == null;
  }

  /** Quarantines the part from the given time on, or extends its quarantine. */
  void quarantine(long nanos) {
    long until = nanos + PartQuarantine.QUARANTINE_NANOS;
    if (!quarantinedBefore || nanos - quarantinedUntilNanos >= 0) {
      quarantinedSinceNanos = nanos;
      quarantinedUntilNanos = until;
    } else if (until - quarantinedUntilNanos > 0) {
      quarantinedUntilNanos = until;
    }
    quarantinedBefore = true;
  }

  boolean isQuarantined(long nowNanos) {
    return quarantinedBefore && nowNanos - quarantinedUntilNanos < 0;
  }

  /** Returns the time from which the last quarantine lasts; empty if there was none. */
  OptionalLong lastingSinceNanos() {
    return quarantinedBefore
        ? OptionalLong.of(quarantinedUntilNanos - PartQuarantine.QUARANTINE_NANOS)
        : OptionalLong.empty();
  }

  /** Returns whether the part was quarantined before, so that one further strike suffices. */
  boolean onProbation() {
    return quarantinedBefore;
  }

  /** Returns the number of episodes of the strikes after a time. */
  int episodesAfter(long nanos) {
    return countEpisodes(strikeTimes().stream().filter(time -> time - nanos > 0).toList());
  }

  /** Returns the time of the first strike after a time, or that time if there is none. */
  long firstStrikeAfter(long nanos) {
    return strikeTimes().stream().filter(time -> time - nanos > 0).findFirst().orElse(nanos);
  }

  /** Returns whether a strike, or the start of the quarantine, came after a time. */
  boolean hasStrikeAfter(long nanos) {
    return quarantinedBefore && quarantinedSinceNanos - nanos > 0
        || strikeTimes().stream().anyMatch(time -> time - nanos > 0);
  }

  String partId() {
    return partId;
  }

  List<String> serverIds() {
    return strikesByServer.values().stream().map(ServerStrike::serverId).toList();
  }

  private List<Long> strikeTimes() {
    Collection<ServerStrike> strikes = strikesByServer.values();
    List<Long> times = new ArrayList<>(strikes.stream().map(ServerStrike::nanos).toList());
    times.sort((a, b) -> Long.signum(a - b));
    return times;
  }

  private static int countEpisodes(List<Long> sortedTimes) {
    int episodes = 0;
    long startNanos = 0;
    for (long nanos : sortedTimes) {
      if (episodes == 0 || nanos - startNanos >= PartQuarantine.EPISODE_NANOS) {
        episodes++;
        startNanos = nanos;
      }
    }
    return episodes;
  }
}
