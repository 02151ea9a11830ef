package org.pollenrock.core.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.collection.BoundedMap;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Detects shared parts of prompts that crash the servers that run them, and quarantines them.
 *
 * <p>A broken send makes the shared parts of its prompt suspect. If the server is found to have
 * ended, each of them gets a strike, and the sound ones among them are cleared by the next request
 * that completes. A part is quarantined when servers have ended under it in several episodes since
 * its last completion. Strikes in quick succession are one episode, so that a power failure, which
 * ends many servers at once, counts once for the parts that are in use everywhere.
 *
 * <p>A part that has completed before needs more episodes and a completion of other prompts since
 * the first of them, because servers that crash for another reason leave no part time to complete.
 *
 * <p>Times are in nanoseconds of the same clock. Memory is bounded: the oldest entries leave first.
 */
public final class PartQuarantine {
  /** Maximum number of parts with strikes that are tracked. */
  public static final int MAX_PARTS = 4_096;

  /** Maximum number of parts whose last completion is remembered. */
  public static final int MAX_COMPLETED_PARTS = 16_384;

  /** Time after the last strike for which a part is quarantined. */
  public static final long QUARANTINE_NANOS = 600_000_000_000L;

  /** Time within which strikes count as one episode, from the first one on. */
  public static final long EPISODE_NANOS = 250_000_000L;

  /** Time for which a strike counts; announcements that clear it can be lost. */
  static final long STRIKE_VALID_NANOS = QUARANTINE_NANOS;

  /** Time between a broken send and the detection that its server ended, in either order. */
  public static final long CONFIRMATION_NANOS = 3_000_000_000L;

  /** Episodes that quarantine a part of which no completion is known. */
  public static final int EPISODES = 3;

  /** Episodes that quarantine a part that has completed before. */
  public static final int EPISODES_IF_COMPLETED = 6;

  /** Maximum number of servers whose broken sends or end are remembered. */
  static final int MAX_SERVERS = 1_024;

  /** Maximum number of suspect parts per server. */
  private static final int MAX_SUSPECTS = 1_024;

  private final Listener listener;
  private final BoundedMap<Long, StruckPart> struckParts = new BoundedMap<>(MAX_PARTS);
  private final BoundedMap<Long, Long> completions = new BoundedMap<>(MAX_COMPLETED_PARTS);
  private final BoundedMap<Long, SuspectServer> suspectServers = new BoundedMap<>(MAX_SERVERS);
  private Optional<Long> lastCompletionNanos = Optional.empty();

  /**
   * Strike against a part: a server ended while it ran a request with the part.
   *
   * @param part hash of the part, see {@link #hash}
   * @param server hash of the server and its start
   * @param nanos time at which the request broke
   */
  public record Strike(long part, long server, long nanos) {}

  /** Receives what this instance announces to the others. */
  public interface Listener {
    /**
     * Called when this instance has found a strike that was not known before.
     *
     * @param strike the strike
     */
    void struck(Strike strike);

    /**
     * Called when a request with a struck part has completed, or when strikes of other instances
     * concern a part that is known to have completed before.
     *
     * @param part hash of the part
     * @param nanos time of the completion
     */
    void cleared(long part, long nanos);

    /**
     * Called when a strike, found or applied, has quarantined a part here.
     *
     * @param part hash of the part
     * @param partId id of the part; empty if this instance has only its hash
     */
    void quarantined(long part, String partId);
  }

  /**
   * Part with strikes, for logs.
   *
   * @param partId id of the part; empty if this instance has only its hash
   * @param servers ids of the servers that ended under it, or hashes of servers that only other
   *     instances have seen end
   */
  public record PartReport(String partId, List<String> servers) {}

  /** Suspect parts of a server, and whether the server has ended. */
  private static final class SuspectServer {
    private final BoundedMap<Long, Suspect> suspects = new BoundedMap<>(MAX_SUSPECTS);
    private Optional<Long> endedNanos = Optional.empty();
  }

  /**
   * Part of the prompt of a broken send.
   *
   * @param partId id of the part
   * @param nanos time at which the send broke
   */
  private record Suspect(String partId, long nanos) {}

  /**
   * Creates a quarantine without any strikes.
   *
   * @param listener receives the announcements
   */
  public PartQuarantine(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the hash that identifies a part of prompts for a model, the same in every process.
   *
   * @param model name of the model
   * @param partId id of the part
   * @return the hash
   */
  public static long hash(String model, String partId) {
    return RendezvousHash.mix(RendezvousHash.hash(model) ^ RendezvousHash.hash(partId));
  }

  /**
   * Records that the connection of a send was closed or reset before the response was complete.
   *
   * @param backend the server
   * @param prompt prompt of the request
   * @param nowNanos current time
   */
  public void recordBroken(Backend backend, Prompt prompt, long nowNanos) {
    if (prompt.sharedParts().isEmpty()) {
      return;
    }
    long life = hash(backend);
    SuspectServer server = suspectServers.computeIfAbsent(life, key -> new SuspectServer());
    for (PromptPart part : prompt.sharedParts()) {
      server.suspects.put(hash(prompt.model(), part.id()), new Suspect(part.id(), nowNanos));
    }
    if (server.endedNanos.isPresent() && nowNanos - server.endedNanos.get() <= CONFIRMATION_NANOS) {
      strikeSuspects(backend, server, nowNanos);
    }
  }

  /**
   * Records evidence that a server has ended. Its broken sends of the last seconds, and of the next
   * ones, become strikes.
   *
   * @param backend the server
   * @param nowNanos current time
   */
  public void recordServerEnded(Backend backend, long nowNanos) {
    SuspectServer server =
        suspectServers.computeIfAbsent(hash(backend), key -> new SuspectServer());
    server.endedNanos = Optional.of(nowNanos);
    strikeSuspects(backend, server, nowNanos);
  }

  /**
   * Records that a request has completed, which shows that the shared parts of its prompt are
   * sound.
   *
   * @param prompt prompt of the request
   * @param nowNanos time of the completion; a part that was struck after it is not cleared
   */
  public void recordCompletion(Prompt prompt, long nowNanos) {
    lastCompletionNanos = Optional.of(nowNanos);
    for (PromptPart part : prompt.sharedParts()) {
      long hash = hash(prompt.model(), part.id());
      completions.putLast(hash, nowNanos);
      StruckPart struck = struckParts.get(hash);
      if (struck != null && !struck.hasStrikeAfter(nowNanos)) {
        struckParts.remove(hash);
        listener.cleared(hash, nowNanos);
      }
    }
  }

  /**
   * Applies a strike that another instance found.
   *
   * @param part hash of the part
   * @param server hash of the server and its start
   * @param nanos time at which the request broke
   * @param nowNanos current time
   */
  public void applyStrike(long part, long server, long nanos, long nowNanos) {
    Optional<StruckPart> struck =
        addStrike(new Strike(part, server, nanos), "", Long.toHexString(server), nowNanos);
    Long completedNanos = completions.get(part);
    if (struck.isPresent()
        && completedNanos != null
        && struck.get().episodesAfter(completedNanos) == EPISODES - 1) {
      listener.cleared(part, completedNanos);
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
    Long known = completions.get(part);
    completions.putLast(part, known == null || nanos - known > 0 ? nanos : known);
    StruckPart struck = struckParts.get(part);
    if (struck != null && !struck.hasStrikeAfter(nanos)) {
      struckParts.remove(part);
    }
  }

  /**
   * Applies a quarantine that another instance or the store has announced. It has no effect if the
   * part was quarantined here at the given time already, so that repeated announcements don't
   * prolong a quarantine, or if the part has completed since.
   *
   * @param part hash of the part
   * @param nanos time from which the quarantine lasts, see {@link #quarantinedSinceNanos}
   */
  public void applyQuarantine(long part, long nanos) {
    if (completionSince(part, nanos).isPresent()) {
      return;
    }
    StruckPart struck = struckParts.computeIfAbsent(part, key -> new StruckPart());
    if (!struck.isQuarantined(nanos)) {
      struck.quarantine(nanos);
    }
  }

  /**
   * Returns whether a shared part of a prompt is quarantined.
   *
   * @param prompt the prompt
   * @param nowNanos current time
   * @return whether a request with the prompt has to be refused
   */
  public boolean isQuarantined(Prompt prompt, long nowNanos) {
    if (struckParts.isEmpty()) {
      return false;
    }
    for (PromptPart part : prompt.sharedParts()) {
      StruckPart struck = struckParts.get(hash(prompt.model(), part.id()));
      if (struck != null && struck.isQuarantined(nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether no part has a strike, so that none can be quarantined.
   *
   * @return whether there are no strikes
   */
  public boolean hasNoStrikes() {
    return struckParts.isEmpty();
  }

  /**
   * Returns the quarantined parts.
   *
   * @param nowNanos current time
   * @return hashes of the parts
   */
  public List<Long> quarantinedParts(long nowNanos) {
    return struckParts.entrySet().stream()
        .filter(entry -> entry.getValue().isQuarantined(nowNanos))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the last completion of a part, if it is known and was not before the given time.
   *
   * @param part hash of the part
   * @param nanos the time
   * @return the time of the completion
   */
  public OptionalLong completionSince(long part, long nanos) {
    Long completedNanos = completions.get(part);
    return completedNanos != null && completedNanos - nanos >= 0
        ? OptionalLong.of(completedNanos)
        : OptionalLong.empty();
  }

  /**
   * Returns the time from which the quarantine of a part lasts, in general that of its last strike.
   *
   * @param part hash of the part
   * @return the time; empty if the part was never quarantined
   */
  public OptionalLong quarantinedSinceNanos(long part) {
    StruckPart struck = struckParts.get(part);
    return struck == null ? OptionalLong.empty() : struck.lastingSinceNanos();
  }

  /**
   * Returns what is known about a part with strikes.
   *
   * @param part hash of the part
   * @return the report; empty if the part has no strikes
   */
  public Optional<PartReport> report(long part) {
    return Optional.ofNullable(struckParts.get(part))
        .map(struck -> new PartReport(struck.partId(), struck.serverIds()));
  }

  /** Returns the number of parts and servers about which something is stored. */
  int trackedEntries() {
    return struckParts.size() + completions.size() + suspectServers.size();
  }

  private void strikeSuspects(Backend backend, SuspectServer server, long nowNanos) {
    Map<Long, Suspect> suspects = new LinkedHashMap<>(server.suspects);
    server.suspects.clear();
    suspects.forEach(
        (part, suspect) -> {
          if (nowNanos - suspect.nanos() > CONFIRMATION_NANOS) {
            return;
          }
          Strike strike = new Strike(part, hash(backend), suspect.nanos());
          if (addStrike(strike, suspect.partId(), backend.entry().id(), nowNanos).isPresent()) {
            listener.struck(strike);
          }
        });
  }

  /** Adds a strike; returns the part unless it had a strike by the same server. */
  private Optional<StruckPart> addStrike(
      Strike strike, String partId, String serverId, long nowNanos) {
    StruckPart struck = struckParts.computeIfAbsent(strike.part(), key -> new StruckPart());
    struckParts.putLast(strike.part(), struck);
    boolean added = struck.add(strike, partId, serverId);
    boolean quarantined = struck.isQuarantined(nowNanos);
    if (added && (quarantined || isDue(strike, struck))) {
      struck.quarantine(strike.nanos());
      if (!quarantined) {
        listener.quarantined(strike.part(), struck.partId());
      }
    }
    return added ? Optional.of(struck) : Optional.empty();
  }

  /** Returns whether the strikes of a part that is not quarantined suffice to quarantine it. */
  private boolean isDue(Strike strike, StruckPart struck) {
    Long completedNanos = completions.get(strike.part());
    long sinceNanos = strike.nanos() - STRIKE_VALID_NANOS;
    if (completedNanos != null && completedNanos - sinceNanos > 0) {
      sinceNanos = completedNanos;
    }
    if (strike.nanos() - sinceNanos <= 0) {
      return false;
    }
    if (struck.onProbation()) {
      return true;
    }
    int episodes = struck.episodesAfter(sinceNanos);
    if (completedNanos == null) {
      return episodes >= EPISODES;
    }
    boolean othersComplete =
        lastCompletionNanos.isPresent()
            && lastCompletionNanos.get() - struck.firstStrikeAfter(sinceNanos) > 0;
    return othersComplete && episodes >= EPISODES_IF_COMPLETED;
  }

  private static long hash(Backend backend) {
    ListedBackend entry = backend.entry();
    return RendezvousHash.mix(backend.idHash() ^ RendezvousHash.mix(entry.startMillis()));
  }
}
