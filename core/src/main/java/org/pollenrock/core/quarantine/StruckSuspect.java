package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import org.pollenrock.core.collection.BoundedMap;

/** Strikes against one part or request since its last completion, and its quarantine. */
final class StruckSuspect {
  /** Maximum number of strikes that are kept; more than a quarantine needs. */
  private static final int MAX_STRIKES = 64;

  /**
   * Time for which a request may seem to have been sent before it broke elsewhere, although it was
   * sent afterwards: instances date what others report too late by the delay of the message.
   */
  private static final long MAX_OVERLAP_NANOS = 100_000_000L;

  /**
   * Strike by one server.
   *
   * @param serverId id of the server, for logs
   * @param sentNanos time at which the request was sent
   * @param nanos time at which the request broke
   */
  private record ServerStrike(String serverId, long sentNanos, long nanos) {}

  private final boolean request;

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

  /**
   * Creates a suspect without strikes.
   *
   * @param request whether it is a request, and not a part
   */
  StruckSuspect(boolean request) {
    this.request = request;
  }

  /** Adds a strike; returns false if the server had struck the part already. */
  boolean add(CrashQuarantine.Strike strike, String id, String serverId) {
    if (partId.isEmpty()) {
      partId = id;
    }
    ServerStrike added = new ServerStrike(serverId, strike.sentNanos(), strike.nanos());
    return strikesByServer.putIfAbsent(strike.server(), added) == null;
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
    List<ServerStrike> strikes = sortedStrikes();
    return strikes.isEmpty() ? OptionalLong.empty() : OptionalLong.of(strikes.getLast().nanos());
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
    int episodes = countEpisodes(sortedStrikes());
    if (hearsay) {
      return TrialSchedule.pauseNanos(episodes + 1, true, true, false);
    }
    boolean othersCompleted = episodes > 0 && completions.anyAfter(lastStrikeNanos().orElseThrow());
    int known = quarantinedBefore ? CrashQuarantine.EPISODES : 1;
    boolean announcedPart = announced && !request;
    return TrialSchedule.pauseNanos(
        Math.max(0, episodes - known), announcedPart, othersCompleted, request && hasRunLong());
  }

  private boolean hasRunLong() {
    return strikesByServer.values().stream()
        .anyMatch(each -> each.nanos() - each.sentNanos() >= TrialSchedule.LONG_RUN_NANOS);
  }

  /** Returns whether the part was quarantined before, so that one further strike suffices. */
  boolean onProbation() {
    return quarantinedBefore;
  }

  /** Returns the number of episodes of the strikes after a time. */
  int episodesAfter(long nanos) {
    return countEpisodes(
        sortedStrikes().stream().filter(each -> each.nanos() - nanos > 0).toList());
  }

  /** Returns the time of the first strike after a time, or that time if there is none. */
  long firstStrikeAfter(long nanos) {
    return sortedStrikes().stream()
        .mapToLong(ServerStrike::nanos)
        .filter(time -> time - nanos > 0)
        .findFirst()
        .orElse(nanos);
  }

  /** Returns whether a strike, or the start of the quarantine, came after a time. */
  boolean hasStrikeAfter(long nanos) {
    long sinceNanos = quarantinedSinceNanos - (hearsay ? CrashQuarantine.MAX_LATE_NANOS : 0);
    return quarantinedBefore && sinceNanos - nanos > 0
        || strikesByServer.values().stream().anyMatch(each -> each.nanos() - nanos > 0);
  }

  String partId() {
    return partId;
  }

  List<String> serverIds() {
    return strikesByServer.values().stream().map(ServerStrike::serverId).toList();
  }

  private List<ServerStrike> sortedStrikes() {
    List<ServerStrike> strikes = new ArrayList<>(strikesByServer.values());
    strikes.sort((a, b) -> Long.signum(a.nanos() - b.nanos()));
    return strikes;
  }

  private int countEpisodes(List<ServerStrike> sortedStrikes) {
    int episodes = 0;
    long startNanos = 0;
    for (ServerStrike strike : sortedStrikes) {
      if (episodes == 0 || isNewEpisode(strike, startNanos)) {
        episodes++;
        startNanos = strike.nanos();
      }
    }
    return episodes;
  }

  /** Returns whether a strike is not of the episode that began at the given time. */
  private boolean isNewEpisode(ServerStrike strike, long startNanos) {
    return request
        ? strike.sentNanos() - startNanos >= -MAX_OVERLAP_NANOS
        : strike.nanos() - startNanos >= CrashQuarantine.EPISODE_NANOS;
  }
}
