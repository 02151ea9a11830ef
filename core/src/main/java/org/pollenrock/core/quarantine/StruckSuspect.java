package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import org.pollenrock.core.collection.BoundedMap;

/** Strikes against one part since its last completion, and its quarantine. */
final class StruckSuspect {
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
  private boolean proven;
  private boolean announced;
  private boolean hearsay;
  private boolean rivalCleared;
  private OptionalLong triedNanos = OptionalLong.empty();
  private long quarantinedSinceNanos;
  private long quarantinedUntilNanos;

  /** Adds a strike; returns false if the server had struck the part already. */
  boolean add(CrashQuarantine.Strike strike, String id, String serverId) {
    if (partId.isEmpty()) {
      partId = id;
    }
    return strikesByServer.putIfAbsent(strike.server(), new ServerStrike(serverId, strike.nanos()))
        == null;
  }

  /** Quarantines the part from the given time on, or extends its quarantine. */
  void quarantine(long nanos) {
    long until = nanos + CrashQuarantine.QUARANTINE_NANOS;
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

  /**
   * Returns whether so many servers ended under the part at once that it is to blame, although a
   * failure of many servers is one episode: another part with the same strikes has completed since,
   * and this one has not within the time that news take.
   */
  boolean isBlamedForBurst(long nowNanos) {
    if (!rivalCleared || strikesByServer.size() < TrialSchedule.BURST_SERVERS) {
      return false;
    }
    long sinceNanos = nowNanos - lastStrikeNanos().orElseThrow();
    return sinceNanos >= TrialSchedule.BURST_BLAME_NANOS
        && sinceNanos < CrashQuarantine.QUARANTINE_NANOS;
  }

  /** Returns the time of the last strike, quarantine or trial; empty if there was none. */
  OptionalLong lastingSinceNanos() {
    OptionalLong since =
        quarantinedBefore
            ? OptionalLong.of(quarantinedUntilNanos - CrashQuarantine.QUARANTINE_NANOS)
            : lastStrikeNanos();
    return since.isEmpty()
            || triedNanos.isPresent() && triedNanos.getAsLong() - since.getAsLong() > 0
        ? triedNanos
        : since;
  }

  /** Returns the time of the last strike; empty if there is none. */
  OptionalLong lastStrikeNanos() {
    List<Long> times = strikeTimes();
    return times.isEmpty() ? OptionalLong.empty() : OptionalLong.of(times.getLast());
  }

  /** Records that this instance sends a request with the part. */
  void recordTrial(long nanos) {
    triedNanos = OptionalLong.of(nanos);
  }

  /** Records that another instance has sent a request with the part, unless it is old news. */
  void announceTrial(long nanos) {
    OptionalLong since = lastingSinceNanos();
    if (since.isEmpty() || nanos - since.getAsLong() >= TrialSchedule.NEW_TRIAL_NANOS) {
      triedNanos = OptionalLong.of(nanos);
    }
  }

  boolean isProven() {
    return proven;
  }

  void setProven(boolean isProven) {
    proven = isProven;
  }

  /** Sets whether only other instances know the strikes for which the part is quarantined. */
  void setHearsay(boolean isHearsay) {
    hearsay = isHearsay;
  }

  boolean isAnnounced() {
    return announced;
  }

  void setAnnounced() {
    announced = true;
  }

  void recordRivalCleared() {
    rivalCleared = true;
  }

  boolean wasStruckByAll(Collection<Long> servers) {
    return strikesByServer.keySet().containsAll(servers);
  }

  /** Returns the hashes of the servers that struck the part. */
  Set<Long> servers() {
    return strikesByServer.keySet();
  }

  /**
   * Returns whether a request with the part may be sent although the part is quarantined.
   *
   * @param nowNanos current time
   * @param completions completions of all parts
   * @param rank number of instances that go before this one
   */
  boolean mayTry(long nowNanos, Completions completions, IntSupplier rank) {
    OptionalLong pauseNanos = proven ? OptionalLong.empty() : trialPauseNanos(completions);
    OptionalLong sinceNanos = lastingSinceNanos();
    if (pauseNanos.isEmpty() || sinceNanos.isEmpty()) {
      return false;
    }
    long waitedNanos = nowNanos - sinceNanos.getAsLong() - pauseNanos.getAsLong();
    return waitedNanos >= 0 && waitedNanos >= rank.getAsInt() * TrialSchedule.STAGGER_NANOS;
  }

  /** Returns the pause before the next trial; empty if the quarantine ends before. */
  private OptionalLong trialPauseNanos(Completions completions) {
    int episodes = countEpisodes(strikeTimes());
    if (hearsay) {
      return TrialSchedule.pauseNanos(episodes + 1, true, true);
    }
    boolean othersCompleted = episodes > 0 && completions.anyAfter(lastStrikeNanos().orElseThrow());
    int known = quarantinedBefore ? CrashQuarantine.EPISODES : 1;
    return TrialSchedule.pauseNanos(Math.max(0, episodes - known), announced, othersCompleted);
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
    long sinceNanos = quarantinedSinceNanos - (hearsay ? CrashQuarantine.MAX_LATE_NANOS : 0);
    return quarantinedBefore && sinceNanos - nanos > 0
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
      if (episodes == 0 || nanos - startNanos >= CrashQuarantine.EPISODE_NANOS) {
        episodes++;
        startNanos = nanos;
      }
    }
    return episodes;
  }
}
