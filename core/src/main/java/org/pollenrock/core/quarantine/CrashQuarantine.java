package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Detects shared parts of prompts, and single requests, that crash the servers that run them, and
 * quarantines them. What is said of parts here holds for requests too, if not said otherwise.
 *
 * <p>A broken send makes the request and the shared parts of its prompt suspect. If the server is
 * found to have ended, each of them gets a strike, and the sound ones among them are cleared by the
 * next request that completes. A part is quarantined when servers have ended under it in several
 * episodes since its last completion. Strikes in quick succession are one episode, so that a power
 * failure, which ends many servers at once, counts once for the parts that are in use everywhere.
 * Strikes of a request are episodes of their own if it was sent to one server after the other had
 * ended.
 *
 * <p>A part that has completed before needs more episodes and a completion of other prompts since
 * the first of them, because servers that crash for another reason leave no part time to complete.
 * This does not hold for requests: few come again, and one that has completed long ago may crash
 * servers now. A request is always on trial, because completions of other requests don't show what
 * ended its servers.
 *
 * <p>A part all of whose strikes are also strikes of one quarantined request is not quarantined,
 * because the request explains them.
 *
 * <p>Crashes prove nothing against a part while no other prompt completes between them. Such a part
 * is on trial, see {@link TrialSchedule}: one completion clears it everywhere.
 *
 * <p>Times are in nanoseconds of the same clock. Memory is bounded: the oldest entries leave first.
 */
public final class CrashQuarantine {
  /** Maximum number of parts with strikes that are tracked, and of requests. */
  public static final int MAX_ENTRIES = 4_096;

  /** Maximum number of parts whose last completion is remembered. */
  public static final int MAX_COMPLETED_PARTS = 16_384;

  /** Maximum number of requests whose last completion is remembered. */
  static final int MAX_COMPLETED_REQUESTS = 4_096;

  /** Time after the last strike for which a part is quarantined. */
  public static final long QUARANTINE_NANOS = 600_000_000_000L;

  /** Time within which strikes of a part count as one episode, from the first one on. */
  public static final long EPISODE_NANOS = 250_000_000L;

  /**
   * Time after the first event of a stream at which its server is known to have read the prompt and
   * begun the answer, so that the parts of the prompt don't crash it.
   */
  public static final long READ_PROOF_NANOS = 500_000_000L;

  /** Time for which a strike counts; announcements that clear it can be lost. */
  static final long STRIKE_VALID_NANOS = QUARANTINE_NANOS;

  /** Time between a broken send and the detection that its server ended, in either order. */
  public static final long CONFIRMATION_NANOS = 3_000_000_000L;

  /** Episodes that quarantine a request, or a part of which no completion is known. */
  public static final int EPISODES = 3;

  /** Episodes that quarantine a part that has completed before. */
  public static final int EPISODES_IF_COMPLETED = 6;

  /** Maximum time by which the announcement of a quarantine is dated too late. */
  public static final long MAX_LATE_NANOS = 900_000_000L;

  /** Maximum number of servers whose broken sends or end are remembered. */
  static final int MAX_SERVERS = 1_024;

  private final QuarantineListener listener;
  private final StruckSuspects struckSuspects = new StruckSuspects();
  private final Completions completions = new Completions();
  private final SuspectServers suspectServers = new SuspectServers();
  private IntSupplier trialRank = () -> 0;

  /**
   * Strike against a part or request: a server ended while it ran a request.
   *
   * @param part hash of the part or request, see {@link CrashSuspects}
   * @param server hash of the server and its start
   * @param sentNanos time at which the request was sent to the server
   * @param nanos time at which the request broke
   */
  public record Strike(long part, long server, long sentNanos, long nanos) {}

  /**
   * Part with strikes, for logs.
   *
   * @param partId id of the part; empty if this instance has only its hash
   * @param servers ids of the servers that ended under it, or hashes of servers that only other
   *     instances have seen end
   */
  public record PartReport(String partId, List<String> servers) {}

  /**
   * Creates a quarantine without any strikes.
   *
   * @param listener receives the announcements
   */
  public CrashQuarantine(QuarantineListener listener) {
    this.listener = listener;
  }

  /**
   * Sets the order in which instances try parts, so that one does after the other.
   *
   * @param rank returns the number of instances that go before this one
   */
  public void setTrialRank(IntSupplier rank) {
    trialRank = rank;
  }

  /**
   * Records that the connection of a send was closed or reset before the response was complete.
   *
   * @param backend the server
   * @param suspects what of the request may have crashed the server
   * @param sentNanos time at which the request was sent
   * @param nowNanos current time
   */
  public void recordBroken(Backend backend, CrashSuspects suspects, long sentNanos, long nowNanos) {
    strike(
        backend,
        suspectServers.recordBroken(hash(backend), suspects, sentNanos, nowNanos),
        nowNanos);
  }

  /**
   * Records evidence that a server has ended. Its broken sends of the last seconds, and of the next
   * ones, become strikes.
   *
   * @param backend the server
   * @param nowNanos current time
   */
  public void recordServerEnded(Backend backend, long nowNanos) {
    strike(backend, suspectServers.recordEnded(hash(backend), nowNanos), nowNanos);
  }

  /**
   * Records that a request has completed, which shows that it and the shared parts of its prompt
   * are sound. The parts alone are so once a stream has gone on for {@link #READ_PROOF_NANOS}: a
   * long run is cut off by a crash with another cause which shorter ones escape.
   *
   * @param suspects the request, or its prompt alone
   * @param nowNanos time of the completion; what was struck after it is not cleared
   */
  public void recordCompletion(CrashSuspects suspects, long nowNanos) {
    if (suspects.prompt().isPresent()) {
      completions.recordAny(nowNanos);
    }
    suspects.parts().forEach(part -> recordCompletion(part.hash(), nowNanos));
    // The hash of a request is computed only while it can matter.
    if (struckSuspects.hasRequests() || suspectServers.isAnyRecent(nowNanos)) {
      suspects.request().ifPresent(request -> recordCompletion(request.hash(), nowNanos));
    }
  }

  private void recordCompletion(long hash, long nowNanos) {
    StruckSuspect struck = struckSuspects.get(hash);
    boolean announced = struck != null && struck.isAnnounced();
    completions.record(hash, nowNanos);
    if (clear(hash, nowNanos)) {
      listener.cleared(hash, nowNanos);
      if (announced) {
        listener.released(hash);
      }
    }
  }

  /**
   * Applies a strike that another instance found.
   *
   * @param strike the strike
   * @param nowNanos current time
   */
  public void applyStrike(Strike strike, long nowNanos) {
    long part = strike.part();
    Optional<StruckSuspect> struck =
        addStrike(strike, "", Long.toHexString(strike.server()), nowNanos);
    OptionalLong completedNanos = completions.of(part);
    if (struck.isPresent()
        && completedNanos.isPresent()
        && struck.get().episodesAfter(completedNanos.getAsLong()) == EPISODES - 1) {
      listener.cleared(part, completedNanos.getAsLong());
    }
  }

  /**
   * Applies a completion that another instance announced.
   *
   * @param part hash of the part
   * @param nanos time of the completion
   * @param nowNanos current time
   */
  public void applyClearing(long part, long nanos, long nowNanos) {
    completions.record(part, nanos);
    clear(part, nanos);
  }

  /**
   * Applies a quarantine that another instance has announced. It has no effect if the part has
   * completed since. If it was quarantined here at that time already, this does not prolong its
   * quarantine, but tells that it has been tried.
   *
   * @param part hash of the part
   * @param nanos time from which the quarantine lasts, see {@link #quarantinedSinceNanos}
   */
  public void applyQuarantine(long part, long nanos) {
    if (completionSince(part, nanos - MAX_LATE_NANOS).isPresent()) {
      return;
    }
    StruckSuspect struck = struckSuspects.getOrAdd(part);
    if (isQuarantined(part, struck, nanos)) {
      struck.announceTrial(nanos);
    } else {
      struck.quarantine(nanos);
      if (!hasRival(part, struck.servers())) {
        struck.setHearsay(true);
        struck.setAnnounced();
      }
    }
  }

  /**
   * Applies a quarantine that the store has kept. If nothing else is known of the part and it was
   * on trial, it stays so, and the pause before the next trial begins now.
   *
   * @param part hash of the part
   * @param nanos time from which the quarantine lasts
   * @param onTrial whether the part was on trial
   * @param nowNanos current time
   */
  public void applyStoredQuarantine(long part, long nanos, boolean onTrial, long nowNanos) {
    boolean known = struckSuspects.contains(part);
    applyQuarantine(part, nanos);
    StruckSuspect struck = struckSuspects.get(part);
    if (!known && struck != null) {
      struck.setHearsay(false);
      struck.setProven(!onTrial);
      if (onTrial) {
        struck.recordTrial(nowNanos);
      }
    }
  }

  /**
   * Returns whether a request or a shared part of its prompt is quarantined and not to be tried
   * now.
   *
   * @param suspects the request
   * @param nowNanos current time
   * @return whether the request has to be refused
   */
  public boolean isQuarantined(CrashSuspects suspects, long nowNanos) {
    return struckAmong(suspects).stream()
        .map(CrashSuspects.Suspect::hash)
        .anyMatch(
            hash -> {
              StruckSuspect struck = struckSuspects.get(hash);
              return isQuarantined(hash, struck, nowNanos)
                  && !struck.mayTry(nowNanos, completions, trialRank);
            });
  }

  /**
   * Records that a request is sent to a server. If it or a part of its prompt is quarantined, it is
   * a trial.
   *
   * @param suspects the request, which had not to be refused
   * @param nowNanos current time
   */
  public void recordSend(CrashSuspects suspects, long nowNanos) {
    for (CrashSuspects.Suspect each : struckAmong(suspects)) {
      StruckSuspect struck = struckSuspects.get(each.hash());
      if (isQuarantined(each.hash(), struck, nowNanos)) {
        struck.recordTrial(nowNanos);
        listener.tried(each.hash(), nowNanos);
      }
    }
  }

  /** Returns the parts of a request, and itself, if they have strikes. */
  private List<CrashSuspects.Suspect> struckAmong(CrashSuspects suspects) {
    if (struckSuspects.isEmpty()) {
      return List.of();
    }
    List<CrashSuspects.Suspect> struck = new ArrayList<>(suspects.parts());
    if (struckSuspects.hasRequests()) {
      suspects.request().ifPresent(struck::add);
    }
    struck.removeIf(each -> !struckSuspects.contains(each.hash()));
    return struck;
  }

  /**
   * Returns whether a quarantined part is on trial, so that it is sent from time to time.
   *
   * @param part hash of the part
   * @return whether nothing has shown that others completed while servers ended under it
   */
  public boolean isOnTrial(long part) {
    StruckSuspect struck = struckSuspects.get(part);
    return struck != null && !struck.isProven();
  }

  /**
   * Returns whether no part has a strike, so that none can be quarantined.
   *
   * @return whether there are no strikes
   */
  public boolean hasNoStrikes() {
    return struckSuspects.isEmpty();
  }

  /**
   * Returns whether a quarantine was announced, which it is not while another part has the same
   * strikes, so that it can't be told which of them is to blame.
   *
   * @param part hash of the part
   * @return whether the quarantine was announced
   */
  public boolean isAnnounced(long part) {
    StruckSuspect struck = struckSuspects.get(part);
    return struck != null && struck.isAnnounced();
  }

  /**
   * Returns the quarantined parts.
   *
   * @param nowNanos current time
   * @return hashes of the parts
   */
  public List<Long> quarantinedParts(long nowNanos) {
    return struckSuspects.hashesOf((hash, struck) -> isQuarantined(hash, struck, nowNanos));
  }

  /**
   * Returns the last completion of a part, if it is known and was not before the given time.
   *
   * @param part hash of the part
   * @param nanos the time
   * @return the time of the completion
   */
  public OptionalLong completionSince(long part, long nanos) {
    OptionalLong completedNanos = completions.of(part);
    return completedNanos.isPresent() && completedNanos.getAsLong() - nanos >= 0
        ? completedNanos
        : OptionalLong.empty();
  }

  /**
   * Returns the time from which the quarantine of a part lasts, in general that of its last strike
   * or trial.
   *
   * @param part hash of the part
   * @return the time; empty if the part was never quarantined
   */
  public OptionalLong quarantinedSinceNanos(long part) {
    StruckSuspect struck = struckSuspects.get(part);
    return struck == null ? OptionalLong.empty() : struck.lastingSinceNanos();
  }

  /**
   * Returns what is known about a part with strikes.
   *
   * @param part hash of the part
   * @return the report; empty if the part has no strikes
   */
  public Optional<PartReport> report(long part) {
    return Optional.ofNullable(struckSuspects.get(part))
        .map(struck -> new PartReport(struck.partId(), struck.serverIds()));
  }

  /** Returns the number of parts and servers about which something is stored. */
  int trackedEntries() {
    return struckSuspects.size() + completions.size() + suspectServers.size();
  }

  private void strike(Backend backend, List<SuspectServers.BrokenSend> suspects, long nowNanos) {
    for (SuspectServers.BrokenSend suspect : suspects) {
      Strike strike =
          new Strike(suspect.suspect().hash(), hash(backend), suspect.sentNanos(), suspect.nanos());
      if (addStrike(strike, suspect.suspect().id(), backend.entry().id(), nowNanos).isPresent()) {
        listener.struck(strike);
      }
    }
  }

  /** Adds a strike; returns the part unless it had a strike by the same server. */
  private Optional<StruckSuspect> addStrike(
      Strike strike, String partId, String serverId, long nowNanos) {
    StruckSuspect struck = struckSuspects.refresh(strike.part());
    boolean quarantined = isQuarantined(strike.part(), struck, nowNanos);
    boolean wasAnnounced = quarantined && struck.isAnnounced();
    boolean added = struck.add(strike, partId, serverId);
    if (added && (quarantined || isDue(strike, struck))) {
      boolean proven =
          !CrashSuspects.isRequest(strike.part())
              && (struck.isProven() || othersCompletedSinceFirstStrike(strike, struck));
      struck.quarantine(strike.nanos());
      struck.setProven(proven);
      Set<Long> otherServers = new HashSet<>(struck.servers());
      otherServers.remove(strike.server());
      if (!wasAnnounced && (proven || !hasRival(strike.part(), otherServers))) {
        struck.setAnnounced();
        listener.quarantined(strike.part(), struck.partId());
      }
    }
    return added ? Optional.of(struck) : Optional.empty();
  }

  /** Forgets the strikes of a part that completed after them; returns whether it had any. */
  private boolean clear(long part, long nanos) {
    StruckSuspect struck = struckSuspects.get(part);
    if (struck == null || struck.hasStrikeAfter(nanos)) {
      return false;
    }
    struckSuspects.remove(part);
    struckSuspects.sameKind(part).values().stream()
        .filter(other -> struck.wasStruckByAll(other.servers()))
        .forEach(StruckSuspect::recordRivalCleared);
    return true;
  }

  private boolean isQuarantined(long part, StruckSuspect struck, long nowNanos) {
    return struck.isQuarantined(nowNanos)
        || !completions.isKnown(part) && struck.isBlamedForBurst(nowNanos);
  }

  /** Returns whether the given servers have all struck another part, or another request, too. */
  private boolean hasRival(long part, Set<Long> servers) {
    return !servers.isEmpty()
        && struckSuspects.sameKind(part).entrySet().stream()
            .anyMatch(other -> other.getKey() != part && other.getValue().wasStruckByAll(servers));
  }

  private boolean othersCompletedSinceFirstStrike(Strike strike, StruckSuspect struck) {
    return completions.anyAfter(struck.firstStrikeAfter(evidenceFromNanos(strike)));
  }

  /** Returns the time after which strikes count: that of the last completion, if it is recent. */
  private long evidenceFromNanos(Strike strike) {
    long sinceNanos = strike.nanos() - STRIKE_VALID_NANOS;
    return completionSince(strike.part(), sinceNanos).orElse(sinceNanos);
  }

  /** Returns whether the strikes of a part that is not quarantined suffice to quarantine it. */
  private boolean isDue(Strike strike, StruckSuspect struck) {
    long sinceNanos = evidenceFromNanos(strike);
    if (strike.nanos() - sinceNanos <= 0) {
      return false;
    }
    if (struck.onProbation()) {
      return true;
    }
    int episodes = struck.episodesAfter(sinceNanos);
    if (CrashSuspects.isRequest(strike.part())) {
      return episodes >= EPISODES;
    }
    if (isExplainedByRequest(struck, strike.nanos())) {
      return false;
    }
    if (!completions.isKnown(strike.part())) {
      return episodes >= EPISODES;
    }
    return othersCompletedSinceFirstStrike(strike, struck) && episodes >= EPISODES_IF_COMPLETED;
  }

  /** Returns whether all strikes of a part are also strikes of one quarantined request. */
  private boolean isExplainedByRequest(StruckSuspect part, long nanos) {
    return !struckSuspects
        .hashesOf(
            (hash, struck) ->
                CrashSuspects.isRequest(hash)
                    && struck.isQuarantined(nanos)
                    && struck.wasStruckByAll(part.servers()))
        .isEmpty();
  }

  private static long hash(Backend backend) {
    ListedBackend entry = backend.entry();
    return RendezvousHash.mix(backend.idHash() ^ RendezvousHash.mix(entry.startMillis()));
  }
}
