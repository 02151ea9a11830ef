package org.pollenrock.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.pollenrock.core.placement.RendezvousHash;
import org.pollenrock.core.speed.ServerSpeed;

/**
 * State that this instance keeps for one incarnation of a backend server: load, reachability,
 * failures and versions of weights.
 *
 * <p>The load is the number of this instance's own requests plus an estimate for other instances.
 * The estimate is the larger of two figures: the work that other instances report, and the load in
 * the newest response of the server, which decays with its age.
 */
public final class Backend {
  /** Pause without new requests after a server refused one because it was full. */
  private static final long REFUSAL_PAUSE_NANOS = 120_000_000L;

  /** Time that a slow engine needs to prefill one token of a prompt. */
  private static final long PREFILL_NANOS_PER_TOKEN = 20_000L;

  /**
   * Age up to which bytes received from a server take precedence over another instance's report
   * that the server is missing.
   */
  private static final long RECENT_RECEIPT_NANOS = 300_000_000L;

  private ListedBackend entry;
  private final ServerNotices notices;
  private final long idHash;
  private final Map<String, Long> weightsVersions = new HashMap<>();
  private final LoadEstimate loadEstimate;
  private final LoadingPause loadingPause = new LoadingPause();
  private int inFlightCount;
  private long unreadTokens;
  private int awaitingResponse;
  private long lastReceivedNanos;
  private long busySinceNanos;

  private int slots;
  private long refusalPauseUntilNanos = Long.MIN_VALUE;
  private final ProbeSchedule probes = new ProbeSchedule();
  private final FailureRate failureRate;
  private final ServerPace pace = new ServerPace();
  private final ServerSpeed speed;
  private long lastTrialNanos = Long.MIN_VALUE;

  /**
   * Creates the initial state of a newly listed server.
   *
   * @param entry the server's entry
   * @param nowNanos current time
   */
  public Backend(ListedBackend entry, long nowNanos) {
    this(entry, new ServerNotices(), nowNanos);
  }

  /**
   * Creates the state of a server that is listed again.
   *
   * @param entry the server's entry
   * @param notices what this incarnation of the server has told before
   * @param nowNanos current time
   */
  Backend(ListedBackend entry, ServerNotices notices, long nowNanos) {
    this.entry = entry;
    this.notices = notices;
    this.idHash = RendezvousHash.hash(entry.id());
    this.slots = entry.slots();
    this.lastReceivedNanos = nowNanos;
    this.loadEstimate = new LoadEstimate(nowNanos);
    this.failureRate = new FailureRate(nowNanos);
    this.speed = new ServerSpeed(nowNanos);
    weightsVersions.putAll(entry.weightsVersions());
  }

  /**
   * Applies a newer entry of the same incarnation.
   *
   * @param newer the newer entry
   */
  void update(ListedBackend newer) {
    if (newer.slots() > 0) {
      slots = newer.slots();
    }
    newer.weightsVersions().forEach(this::recordWeightsVersion);
    entry = newer;
  }

  /**
   * Records that a request is being sent to the server.
   *
   * @param promptTokens number of tokens of its prompt; 0 for a plain request
   * @param nowNanos current time
   */
  public void recordRequestStart(long promptTokens, long nowNanos) {
    if (inFlightCount == 0) {
      busySinceNanos = nowNanos;
    }
    inFlightCount++;
    awaitingResponse++;
    unreadTokens += promptTokens;
  }

  /**
   * Records that the first part of a response arrived, which means that the server has read the
   * prompt.
   *
   * @param promptTokens the value passed to {@link #recordRequestStart}
   */
  public void recordResponseStart(long promptTokens) {
    awaitingResponse--;
    unreadTokens -= promptTokens;
  }

  /**
   * Records the end of a request, whether it succeeded, failed or was aborted.
   *
   * @param promptTokens the value passed to {@link #recordRequestStart}
   * @param responseStarted whether {@link #recordResponseStart} was called for it
   */
  public void recordRequestEnd(long promptTokens, boolean responseStarted) {
    if (!responseStarted) {
      recordResponseStart(promptTokens);
    }
    inFlightCount--;
  }

  /**
   * Records that bytes were received from the server, which also marks it reachable.
   *
   * @param nowNanos current time
   */
  public void recordReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    markReachable();
  }

  /**
   * Records the load that the server reported in a response.
   *
   * @param report the reported load
   * @param nowNanos current time
   */
  public void recordLoad(LoadReport report, long nowNanos) {
    if (report.slots() > 0) {
      slots = report.slots();
    }
    loadEstimate.recordReport(report, inFlightCount, awaitingResponse, nowNanos);
    pace.record(report, nowNanos);
  }

  /**
   * Records the version of the weights that the server has. A newer version also ends the pause for
   * loading weights.
   *
   * @param model the model
   * @param version the version; ignored unless it is newer than the known one
   */
  public void recordWeightsVersion(String model, long version) {
    Long known = weightsVersions.get(model);
    if (known == null || known < version) {
      weightsVersions.put(model, version);
      loadingPause.end();
    }
  }

  /**
   * Records the version of the weights like {@link #recordWeightsVersion(String, long)}. A server
   * whose pause for loading weights ends is filled again step by step.
   *
   * @param model the model
   * @param version the version
   * @param nowNanos current time
   */
  public void recordWeightsVersion(String model, long version, long nowNanos) {
    boolean loading = loadingPause.isActive(nowNanos);
    recordWeightsVersion(model, version);
    if (loading && !loadingPause.isActive(nowNanos)) {
      loadingPause.beginRefill(nowNanos);
    }
  }

  /**
   * Discards the known version of the server's weights, because a response showed it to be wrong.
   *
   * @param model the model
   */
  public void clearWeightsVersion(String model) {
    weightsVersions.remove(model);
  }

  /**
   * Records that the server refused a request without running it, and pauses new requests.
   *
   * @param nowNanos current time
   */
  public void recordRefusal(long nowNanos) {
    refusalPauseUntilNanos = Math.max(refusalPauseUntilNanos, nowNanos + REFUSAL_PAUSE_NANOS);
  }

  /**
   * Records that this instance could not connect to the server or that the server went silent.
   * Marks the server missing and schedules the next probe with exponential backoff.
   *
   * @param nowNanos current time
   */
  public void recordUnreachable(long nowNanos) {
    probes.recordUnreachable(nowNanos);
  }

  /**
   * Applies a report of another instance on the same network that the server is missing. The fault
   * may lie with that instance, so the first report makes a probe due immediately; further ones
   * delay the next probe like failures that this instance detects. The report is ignored if this
   * instance received bytes from the server recently.
   *
   * @param nowNanos current time
   */
  public void applyPeerMissing(long nowNanos) {
    if (nowNanos - lastReceivedNanos > RECENT_RECEIPT_NANOS) {
      probes.applyPeerMissing(nowNanos);
    }
  }

  /**
   * Marks the server reachable, because this instance or another one on the same network received
   * bytes from it.
   */
  public void markReachable() {
    probes.end();
  }

  /**
   * Returns whether the server is considered unreachable until bytes are received from it again.
   *
   * @return whether the server is missing
   */
  public boolean isMissing() {
    return probes.isMissing();
  }

  /**
   * Returns whether the next reachability probe of a missing server is due.
   *
   * @param nowNanos current time
   * @return whether a probe is due; always false for a server that is not missing or wants no
   *     requests
   */
  public boolean isProbeDue(long nowNanos) {
    return probes.isDue(nowNanos) && notices.permitsRequest(nowNanos);
  }

  /**
   * Returns when the server is probed while it is missing.
   *
   * @return the schedule of probes
   */
  public ProbeSchedule probes() {
    return probes;
  }

  /**
   * Records the outcome of a request that ran or may have run.
   *
   * @param success whether the server responded correctly
   * @param nowNanos current time
   */
  public void recordOutcome(boolean success, long nowNanos) {
    failureRate.recordOutcome(success, nowNanos);
  }

  /**
   * Applies request outcomes that another instance on the same network reported.
   *
   * @param successes number of successful requests
   * @param failures number of failed requests
   * @param nowNanos current time
   */
  public void applyPeerOutcomes(int successes, int failures, long nowNanos) {
    int count = Math.max(0, successes) + Math.max(0, failures);
    if (count > 0) {
      failureRate.record(count, Math.max(0, failures), nowNanos);
    }
  }

  /**
   * Returns the moving average of failures, which decays with time.
   *
   * @param nowNanos current time
   * @return fraction of failed requests, from 0 to 1
   */
  public double failureRate(long nowNanos) {
    return failureRate.value(nowNanos);
  }

  /**
   * Returns the estimated number of requests that the server runs or has queued.
   *
   * @param nowNanos current time
   * @return the estimate, in requests
   */
  public double load(long nowNanos) {
    return inFlightCount
        + loadEstimate.requests(nowNanos)
        + loadingPause.refillShare(nowNanos) * slots;
  }

  /**
   * Returns the estimated number of prompt tokens that the server has yet to read.
   *
   * @param meanTokens mean length of a prompt in tokens, assumed for queued requests of other
   *     instances
   * @param nowNanos current time
   * @return the estimate, in tokens
   */
  public double unreadTokens(double meanTokens, long nowNanos) {
    return unreadTokens + loadEstimate.unreadTokens(meanTokens, nowNanos);
  }

  /**
   * Returns the number of tokens of this instance's prompts that the server has yet to read.
   *
   * @return the number of tokens
   */
  public long ownUnreadTokens() {
    return unreadTokens;
  }

  /**
   * Applies another instance's report of its outstanding work at the server.
   *
   * @param peer identity of the instance
   * @param requests number of its outstanding requests
   * @param unread number of tokens of its prompts that the server has yet to read
   * @param nowNanos current time
   */
  public void applyPeerWork(long peer, int requests, long unread, long nowNanos) {
    loadEstimate.peerWork().update(peer, Math.max(0, requests), Math.max(0, unread), nowNanos);
  }

  /**
   * Discards work and speeds reported by instances that have not repeated their report in time.
   *
   * @param nowNanos current time
   */
  public void expirePeerReports(long nowNanos) {
    loadEstimate.peerWork().expire(nowNanos);
    speed.refresh(nowNanos);
  }

  /**
   * Returns the time for which the server has sent nothing while it has outstanding requests of
   * this instance. The estimated time to read the outstanding prompts of all instances is
   * subtracted, and the time during which the server loads weights does not count.
   *
   * @param nowNanos current time
   * @return the time in nanoseconds; 0 if no request is outstanding
   */
  public long silentNanos(long nowNanos) {
    if (inFlightCount == 0) {
      return 0;
    }
    long since =
        Math.max(
            Math.max(lastReceivedNanos, busySinceNanos), loadingPause.silenceToleratedUntilNanos());
    long unread = unreadTokens + loadEstimate.peerWork().unreadTokens();
    return Math.max(0, nowNanos - since - unread * PREFILL_NANOS_PER_TOKEN);
  }

  /**
   * Returns whether the server temporarily gets no requests: after a refusal, while it loads
   * weights, or until it has responded to the first request after a hold.
   *
   * @param nowNanos current time
   * @return whether the server is paused
   */
  public boolean isPaused(long nowNanos) {
    return nowNanos < refusalPauseUntilNanos
        || loadingPause.isActive(nowNanos)
        || notices.isTrialPending(nowNanos);
  }

  /**
   * Claims a trial request to a server that is otherwise avoided because of failures. One trial is
   * allowed per interval.
   *
   * @param intervalNanos minimum time between two trials
   * @param nowNanos current time
   * @return whether the caller may send the trial request
   */
  public boolean tryStartTrial(long intervalNanos, long nowNanos) {
    if (lastTrialNanos != Long.MIN_VALUE && nowNanos - lastTrialNanos < intervalNanos) {
      return false;
    }
    lastTrialNanos = nowNanos;
    return true;
  }

  /**
   * Returns the version of the weights that the server is known to have.
   *
   * @param model the model
   * @return the version, or empty if unknown
   */
  public OptionalLong weightsVersion(String model) {
    Long version = weightsVersions.get(model);
    return version == null ? OptionalLong.empty() : OptionalLong.of(version);
  }

  /**
   * Returns whether the server serves a model.
   *
   * @param model the model
   * @return whether the entry lists the model; also true if the entry lists no models at all
   */
  public boolean serves(String model) {
    return entry.weightsVersions().isEmpty() || entry.weightsVersions().containsKey(model);
  }

  /**
   * Returns the newest entry of the server in the server list.
   *
   * @return the entry
   */
  public ListedBackend entry() {
    return entry;
  }

  /**
   * Returns what the server has told about further requests.
   *
   * @return the notices
   */
  public ServerNotices notices() {
    return notices;
  }

  /**
   * Returns the pace that the server reports.
   *
   * @return the pace
   */
  public ServerPace pace() {
    return pace;
  }

  /**
   * Returns how fast the server was measured to work.
   *
   * @return the speed
   */
  public ServerSpeed speed() {
    return speed;
  }

  /**
   * Returns the pause of a server that loads weights.
   *
   * @return the pause
   */
  public LoadingPause loadingPause() {
    return loadingPause;
  }

  /**
   * Returns the hash of the server's identifier, for rendezvous hashing.
   *
   * @return the hash
   */
  public long idHash() {
    return idHash;
  }

  /**
   * Returns the number of this instance's outstanding requests at the server.
   *
   * @return the number of requests
   */
  public int inFlightCount() {
    return inFlightCount;
  }

  /**
   * Returns the number of requests that the server runs concurrently.
   *
   * @return the number; 0 if unknown
   */
  public int slots() {
    return slots;
  }
}
