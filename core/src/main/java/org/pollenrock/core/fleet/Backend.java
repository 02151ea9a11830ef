package org.pollenrock.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * One incarnation of a backend server with what this instance has seen of it.
 *
 * <p>Load is this instance's own requests plus those of other instances. They tell theirs; where
 * that is less than what the newest answer of the server said, fading with its age, that counts.
 */
public final class Backend {
  /** Time after which half of the load that others put on a server is no longer believed. */
  public static final long LOAD_HALF_LIFE_NANOS = 500_000_000L;

  /** Time for which a server that refused a request as full gets no further one. */
  private static final long REFUSAL_PAUSE_NANOS = 120_000_000L;

  /** Time for which an engine that loads weights gets no request, unless it is done sooner. */
  private static final long LOADING_PAUSE_NANOS = 450_000_000L;

  /** Time that a slow engine takes to read a token of a prompt. */
  private static final long READING_NANOS_PER_TOKEN = 20_000L;

  /** Time from a server's first sign of absence to its probe; doubles with each further sign. */
  private static final long PROBE_PAUSE_NANOS = 250_000_000L;

  /** Longest time between probes, so that a server that returns is found in time. */
  private static final long PROBE_PAUSE_MAX_NANOS = 2_000_000_000L;

  /** Age up to which bytes from a server outweigh that another instance misses it. */
  private static final long OWN_EVIDENCE_NANOS = 300_000_000L;

  /** Weight of one outcome in the moving average of failures; about eight outcomes decide. */
  private static final double OUTCOME_WEIGHT = 0.12;

  private ListedBackend entry;
  private final long seed;
  private final Map<String, Long> weights = new HashMap<>();
  private final PeerWork peerWork = new PeerWork();
  private int inFlight;
  private long unreadTokens;
  private int unanswered;
  private long heardNanos;
  private long waitingSinceNanos;
  private double othersLoad;
  private double othersWaiting;
  private long othersLoadNanos;
  private int slots;
  private long pausedUntilNanos = Long.MIN_VALUE;
  private long loadingUntilNanos = Long.MIN_VALUE;
  private long silenceExcusedUntilNanos = Long.MIN_VALUE;
  private boolean missing;
  private int missedProbes;
  private long probeDueNanos;
  private double failureRate;
  private long failureRateNanos;
  private long trialNanos = Long.MIN_VALUE;

  /**
   * Creates the state of a server that was just listed.
   *
   * @param entry its entry
   * @param nowNanos current time
   */
  public Backend(ListedBackend entry, long nowNanos) {
    this.entry = entry;
    this.seed = RendezvousHash.hash(entry.id());
    this.slots = entry.slots();
    this.heardNanos = nowNanos;
    this.othersLoadNanos = nowNanos;
    this.failureRateNanos = nowNanos;
    weights.putAll(entry.weightsVersions());
  }

  /**
   * Takes a newer entry of the same incarnation.
   *
   * @param newer the entry
   */
  void update(ListedBackend newer) {
    if (newer.slots() > 0) {
      slots = newer.slots();
    }
    newer.weightsVersions().forEach(this::recordWeightsVersion);
    entry = newer;
  }

  /**
   * Counts a request that is on its way to the server.
   *
   * @param promptTokens tokens of its prompt; 0 for a plain request
   * @param nowNanos current time
   */
  public void recordRequestStart(long promptTokens, long nowNanos) {
    if (inFlight == 0) {
      waitingSinceNanos = nowNanos;
    }
    inFlight++;
    unanswered++;
    unreadTokens += promptTokens;
  }

  /**
   * The first part of an answer arrived, so that the prompt has been read.
   *
   * @param promptTokens tokens given to {@link #recordRequestStart}
   */
  public void recordResponseStart(long promptTokens) {
    unanswered--;
    unreadTokens -= promptTokens;
  }

  /**
   * Counts a request that ended, however it did.
   *
   * @param promptTokens tokens given to {@link #recordRequestStart}
   * @param answered whether {@link #recordResponseStart} was called for it
   */
  public void recordRequestEnd(long promptTokens, boolean answered) {
    if (!answered) {
      recordResponseStart(promptTokens);
    }
    inFlight--;
  }

  /**
   * The server sent bytes.
   *
   * @param nowNanos current time
   */
  public void recordReceived(long nowNanos) {
    heardNanos = nowNanos;
    markReachable();
  }

  /**
   * The server told its load.
   *
   * @param report the load
   * @param nowNanos current time
   */
  public void recordLoad(LoadReport report, long nowNanos) {
    if (report.slots() > 0) {
      slots = report.slots();
    }
    othersLoad = Math.max(0, report.running() + report.waiting() - inFlight);
    othersWaiting = Math.max(0, report.waiting() - unanswered);
    othersLoadNanos = nowNanos;
  }

  /**
   * The server told the version of its weights.
   *
   * @param model the model
   * @param version the version; an older one than known is ignored
   */
  public void recordWeightsVersion(String model, long version) {
    Long known = weights.get(model);
    if (known == null || known < version) {
      weights.put(model, version);
      loadingUntilNanos = Long.MIN_VALUE;
    }
  }

  /**
   * The server's weights are not those that it was thought to have.
   *
   * @param model the model
   */
  public void clearWeightsVersion(String model) {
    weights.remove(model);
  }

  /**
   * The server refused a request without running it.
   *
   * @param nowNanos current time
   */
  public void recordRefusal(long nowNanos) {
    pausedUntilNanos = Math.max(pausedUntilNanos, nowNanos + REFUSAL_PAUSE_NANOS);
  }

  /**
   * The server loads weights, or is about to.
   *
   * @param nowNanos current time
   * @return whether it was not known to
   */
  public boolean recordLoading(long nowNanos) {
    boolean news = nowNanos >= loadingUntilNanos;
    loadingUntilNanos = nowNanos + LOADING_PAUSE_NANOS;
    // An engine that loads answers nobody; that is no sign of a fault.
    silenceExcusedUntilNanos = loadingUntilNanos;
    return news;
  }

  /**
   * No connection to the server could be opened, or it went silent.
   *
   * @param nowNanos current time
   */
  public void recordUnreachable(long nowNanos) {
    long pause = PROBE_PAUSE_NANOS << Math.min(missedProbes, 4);
    missedProbes++;
    missing = true;
    probeDueNanos = nowNanos + Math.min(pause, PROBE_PAUSE_MAX_NANOS);
  }

  /**
   * Another instance on the same network misses the server. The fault may be that instance's own,
   * so a first sign only calls for a probe at once.
   *
   * @param nowNanos current time
   */
  public void applyPeerMissing(long nowNanos) {
    if (nowNanos - heardNanos <= OWN_EVIDENCE_NANOS) {
      return;
    }
    if (missing) {
      recordUnreachable(nowNanos);
      return;
    }
    missing = true;
    probeDueNanos = nowNanos;
  }

  /** Another instance on the same network heard from the server again. */
  public void markReachable() {
    missing = false;
    missedProbes = 0;
  }

  /**
   * Tells whether the server is taken to be gone until it answers a probe.
   *
   * @return whether it gets no requests
   */
  public boolean isMissing() {
    return missing;
  }

  /**
   * Tells whether it is time to ask a missing server for a sign of life.
   *
   * @param nowNanos current time
   * @return whether a probe is due
   */
  public boolean isProbeDue(long nowNanos) {
    return missing && nowNanos - probeDueNanos >= 0;
  }

  /**
   * A probe is on its way; the next one is due only after its end.
   *
   * @param endNanos time by which the probe has ended
   */
  public void recordProbeSent(long endNanos) {
    probeDueNanos = endNanos;
  }

  /**
   * Counts the outcome of a request that ran or may have run.
   *
   * @param success whether the server answered as it should
   * @param nowNanos current time
   */
  public void recordOutcome(boolean success, long nowNanos) {
    failureRate = failureRate(nowNanos) * (1 - OUTCOME_WEIGHT) + (success ? 0 : OUTCOME_WEIGHT);
    failureRateNanos = nowNanos;
  }

  /**
   * Counts outcomes that another instance on the same network saw.
   *
   * @param successes requests that the server answered as it should
   * @param failures requests that it failed
   * @param nowNanos current time
   */
  public void applyPeerOutcomes(int successes, int failures, long nowNanos) {
    int count = Math.max(0, successes) + Math.max(0, failures);
    if (count == 0) {
      return;
    }
    double kept = Math.pow(1 - OUTCOME_WEIGHT, count);
    failureRate = failureRate(nowNanos) * kept + (1 - kept) * Math.max(0, failures) / count;
    failureRateNanos = nowNanos;
  }

  /**
   * Moving average of failures, which fades with time so that a server gets work back.
   *
   * @param nowNanos current time
   * @return share of requests that failed, from 0 to 1
   */
  public double failureRate(long nowNanos) {
    return failureRate * fading(nowNanos - failureRateNanos, 4 * LOAD_HALF_LIFE_NANOS);
  }

  /**
   * Requests that the server runs or holds.
   *
   * @param nowNanos current time
   * @return estimate of the load
   */
  public double load(long nowNanos) {
    double others = othersLoad * fading(nowNanos - othersLoadNanos, LOAD_HALF_LIFE_NANOS);
    return inFlight + Math.max(peerWork.requests(), others);
  }

  /**
   * Tokens of prompts that the server still has to read.
   *
   * @param meanTokens mean length of a prompt, for those that others sent
   * @param nowNanos current time
   * @return estimate of the tokens
   */
  public double unreadTokens(double meanTokens, long nowNanos) {
    double others = othersWaiting * fading(nowNanos - othersLoadNanos, LOAD_HALF_LIFE_NANOS);
    return unreadTokens + Math.max(peerWork.unreadTokens(), others * meanTokens);
  }

  /**
   * Tokens of this instance's prompts that the server still has to read.
   *
   * @return the tokens
   */
  public long ownUnreadTokens() {
    return unreadTokens;
  }

  /**
   * Another instance told what it has under way at the server.
   *
   * @param peer identity of the instance
   * @param requests its requests
   * @param unread tokens of their prompts that are still to be read
   * @param nowNanos current time
   */
  public void applyPeerWork(long peer, int requests, long unread, long nowNanos) {
    peerWork.told(peer, Math.max(0, requests), Math.max(0, unread), nowNanos);
  }

  /**
   * Forgets what instances told that have been quiet since.
   *
   * @param nowNanos current time
   */
  public void expirePeerWork(long nowNanos) {
    peerWork.expire(nowNanos);
  }

  /**
   * Time for which the server has been silent although an answer is due. The time that it takes to
   * read the prompts that all instances sent it does not count.
   *
   * @param nowNanos current time
   * @return the time in nanoseconds; 0 when nothing is due
   */
  public long silentNanos(long nowNanos) {
    if (inFlight == 0) {
      return 0;
    }
    long since = Math.max(Math.max(heardNanos, waitingSinceNanos), silenceExcusedUntilNanos);
    long unread = unreadTokens + peerWork.unreadTokens();
    return Math.max(0, nowNanos - since - unread * READING_NANOS_PER_TOKEN);
  }

  /**
   * Tells whether the server is kept out of use for a moment, after a refusal or while it loads.
   *
   * @param nowNanos current time
   * @return whether it is paused
   */
  public boolean isPaused(long nowNanos) {
    return nowNanos < pausedUntilNanos || nowNanos < loadingUntilNanos;
  }

  /**
   * Allows one request in an interval to a server that is otherwise avoided for its failures.
   *
   * @param intervalNanos the interval
   * @param nowNanos current time
   * @return whether the caller may send it
   */
  public boolean tryStartTrial(long intervalNanos, long nowNanos) {
    if (trialNanos != Long.MIN_VALUE && nowNanos - trialNanos < intervalNanos) {
      return false;
    }
    trialNanos = nowNanos;
    return true;
  }

  /**
   * Version of the weights that the server is known to have.
   *
   * @param model the model
   * @return the version, if known
   */
  public OptionalLong weightsVersion(String model) {
    Long version = weights.get(model);
    return version == null ? OptionalLong.empty() : OptionalLong.of(version);
  }

  /**
   * Tells whether the server serves a model.
   *
   * @param model the model
   * @return whether it does; true as well when it did not say what it serves
   */
  public boolean serves(String model) {
    return entry.weightsVersions().isEmpty() || entry.weightsVersions().containsKey(model);
  }

  /**
   * Entry in the list of servers.
   *
   * @return the newest entry
   */
  public ListedBackend entry() {
    return entry;
  }

  /**
   * Hash of the server's name, for rendezvous hashing.
   *
   * @return the hash
   */
  public long seed() {
    return seed;
  }

  /**
   * Requests of this instance that the server holds.
   *
   * @return the number
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Requests that the server runs at once.
   *
   * @return the number; 0 when unknown
   */
  public int slots() {
    return slots;
  }

  private static double fading(long ageNanos, long halfLifeNanos) {
    return Math.pow(0.5, Math.max(0, ageNanos) / (double) halfLifeNanos);
  }
}
