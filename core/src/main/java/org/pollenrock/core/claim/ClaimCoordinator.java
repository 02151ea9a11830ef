package org.pollenrock.core.claim;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.LogReadResult;

/**
 * Coordinates the non-idempotent calls of one router incarnation.
 *
 * <p>Every call that is started and not cancelled receives exactly one reply, at its deadline at
 * the latest. A call is sent only after its own claim was read back from the log as the winner, and
 * at most once; after a reply with run state {@code not_run} it is never sent under its claim.
 */
public final class ClaimCoordinator {
  private final InstanceId router;
  private final Incarnation incarnation;
  private final ClaimSettings settings;
  private final ClaimLog log;
  private final ClaimBatcher batcher;
  private final CallRegistry calls = new CallRegistry();
  private long nextCounter = 1;
  private long lastReadNanos;
  private boolean logAvailable;
  private boolean timeMarkQueued;

  /**
   * Creates a coordinator that has not read the log yet.
   *
   * @param router id of this router
   * @param incarnation incarnation of this router, never used before
   * @param settings limits of the claim protocol
   */
  public ClaimCoordinator(InstanceId router, Incarnation incarnation, ClaimSettings settings) {
    this.router = router;
    this.incarnation = incarnation;
    this.settings = settings;
    this.log = new ClaimLog(settings);
    this.batcher = new ClaimBatcher(router, incarnation, settings);
  }

  /**
   * Starts a call: claims its key, or makes it wait for the claim that holds the key.
   *
   * @param call the call
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> begin(ClaimCall call, long nowNanos) {
    CallState state = new CallState(call, nowNanos + settings.maxWaitNanos());
    calls.add(state);
    if (nowNanos >= state.replyDeadlineNanos()) {
      calls.reply(state, ClaimErrors.deadlinePassed());
    } else {
      admit(state);
    }
    return collectDecisions(nowNanos);
  }

  /**
   * Applies a read of the claim stream. A read that starts beyond {@link #nextOffset} means that
   * the log dropped unread entries; the claim table is then rebuilt from the start of the read. A
   * read whose head lies before {@link #nextOffset} is late and is ignored.
   *
   * @param read result of the read
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> applyRead(LogReadResult read, long nowNanos) {
    if (log.endsBeforePosition(read)) {
      return collectDecisions(nowNanos);
    }
    if (log.restartOnGap(read)) {
      timeMarkQueued = false;
      refuseClaiming(ClaimErrors.historyIncomplete());
    }
    lastReadNanos = nowNanos;
    logAvailable = true;
    Set<Digest256> affectedKeys = new LinkedHashSet<>();
    log.apply(
        read,
        (claimRecord, result) -> {
          if (isOwn(claimRecord)) {
            batcher.recordReadBack(claimRecord);
            applyOwn(claimRecord, result, nowNanos);
          }
          claimRecord.keyDigest().filter(calls::hasKey).ifPresent(affectedKeys::add);
        });
    affectedKeys.forEach(this::resolveWaiting);
    if (log.isCaughtUp(read)) {
      batcher.requeueMissing(nowNanos);
    }
    calls.callsInPhase(CallState.Phase.AWAITING_LOG_TIME).forEach(this::admit);
    return collectDecisions(nowNanos);
  }

  /**
   * Records that the log confirmed an append.
   *
   * @param appendId id of the append
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> recordAppendSuccess(long appendId, long nowNanos) {
    batcher.recordAppendSuccess(appendId);
    return collectDecisions(nowNanos);
  }

  /**
   * Records that an append certainly had no effect, for example due to the rate limit of the log.
   *
   * @param appendId id of the append
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> recordAppendFailure(long appendId, long nowNanos) {
    batcher.recordAppendFailure(appendId, nowNanos);
    return collectDecisions(nowNanos);
  }

  /**
   * Records that an append received no response; it may have taken effect or may still do so.
   *
   * @param appendId id of the append
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> recordUncertainAppend(long appendId, long nowNanos) {
    batcher.recordUncertainAppend(appendId, nowNanos);
    return collectDecisions(nowNanos);
  }

  /**
   * Marks a granted call as sent if it may still be sent; called directly before its first byte.
   *
   * @param callId id of the call
   * @param nowNanos current time
   * @return true at most once per call, and only before its deadline and before any reply
   */
  public boolean tryMarkSent(long callId, long nowNanos) {
    CallState state = calls.findCall(callId);
    boolean allowed =
        state != null
            && state.phase() == CallState.Phase.GRANTED
            && nowNanos < state.call().deadlineNanos();
    if (allowed) {
      state.setPhase(CallState.Phase.SENT);
    }
    return allowed;
  }

  /**
   * Records the response of the service to a sent call and replies to the calls that wait for it.
   *
   * @param callId id of the call
   * @param outcome response of the service
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> recordOutcome(long callId, CallOutcome outcome, long nowNanos) {
    CallState state = findSentCall(callId);
    if (state == null) {
      return collectDecisions(nowNanos);
    }
    batcher.enqueue(new ClaimRecord.Completed(state.claim(), state.call().key(), outcome));
    calls.reply(state, outcome);
    replyToWaiting(state, outcome);
    return collectDecisions(nowNanos);
  }

  /**
   * Records that the response of a sent call was lost; the service may have run the call.
   *
   * @param callId id of the call
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> recordResponseLost(long callId, long nowNanos) {
    CallState state = findSentCall(callId);
    if (state != null) {
      batcher.enqueue(new ClaimRecord.OutcomeUnknown(state.claim(), state.call().key()));
      calls.reply(state, ClaimErrors.outcomeUnknown());
    }
    return collectDecisions(nowNanos);
  }

  /**
   * Records that a granted or sent call certainly did not reach the service, and releases its key.
   *
   * @param callId id of the call
   * @param reason error that the caller receives
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> recordNotSent(
      long callId, RequestError.Refusal reason, long nowNanos) {
    CallState state = calls.findCall(callId);
    boolean running =
        state != null
            && (state.phase() == CallState.Phase.GRANTED || state.phase() == CallState.Phase.SENT);
    if (running) {
      release(state);
      calls.reply(state, reason);
    }
    return collectDecisions(nowNanos);
  }

  /**
   * Cancels a call whose caller disconnected; a sent call continues and its outcome is recorded.
   *
   * @param callId id of the call
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> cancel(long callId, long nowNanos) {
    CallState state = calls.findCall(callId);
    if (state != null) {
      state.markAnswered();
      if (state.phase() != CallState.Phase.SENT) {
        release(state);
        calls.remove(state);
      }
    }
    return collectDecisions(nowNanos);
  }

  /**
   * Replies to the calls whose reply deadline has passed and appends the records that are due.
   *
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> tick(long nowNanos) {
    if (logAvailable && nowNanos - lastReadNanos > settings.logSilenceTimeoutNanos()) {
      refuseUnconfirmed();
    }
    for (CallState due = calls.pollDueCall(nowNanos);
        due != null;
        due = calls.pollDueCall(nowNanos)) {
      timeOut(due);
    }
    return collectDecisions(nowNanos);
  }

  /**
   * Marks the log as unavailable because it cannot be read. Calls whose claim is not confirmed are
   * refused and never sent; their claims are released when the log can be read again.
   *
   * @param nowNanos current time
   * @return the decisions to carry out, in order
   */
  public List<ClaimDecision> markLogUnavailable(long nowNanos) {
    refuseUnconfirmed();
    return collectDecisions(nowNanos);
  }

  /**
   * Returns the offset from which the claim stream must be read next.
   *
   * @return an offset; 0 before the first read
   */
  public long nextOffset() {
    return log.nextOffset();
  }

  /**
   * Returns the claim table, for metrics and the state page.
   *
   * @return the table
   */
  public ClaimTable table() {
    return log.table();
  }

  /**
   * Returns the codec that decodes the claim stream, for its counters.
   *
   * @return the codec
   */
  public ClaimCodec codec() {
    return log.codec();
  }

  /**
   * Returns the number of open calls.
   *
   * @return a count
   */
  public int openCallCount() {
    return calls.size();
  }

  private boolean isOwn(ClaimRecord claimRecord) {
    ClaimId id = claimRecord.claim();
    return id.router().equals(router) && id.incarnation().equals(incarnation);
  }

  /** Updates the call that made a claim of this router when that claim is read from the log. */
  private void applyOwn(ClaimRecord claimRecord, ClaimTable.RecordResult result, long nowNanos) {
    if (claimRecord instanceof ClaimRecord.TimeMark) {
      timeMarkQueued = false;
      return;
    }
    if (!(claimRecord instanceof ClaimRecord.Claimed claimed)) {
      return;
    }
    CallState owner = calls.findOwner(claimed.key());
    if (owner == null || !isClaiming(owner, claimed.claim())) {
      return;
    }
    switch (result) {
      case WON -> grant(owner, nowNanos);
      case LOST -> {
        // Without a release, a late copy of this claim could win once the holder releases the key.
        release(owner);
        calls.moveOwnerToWaiting(owner);
      }
      case OUT_OF_WINDOW -> calls.reply(owner, ClaimErrors.keyOutOfWindow());
      default -> {
        return;
      }
    }
  }

  private static boolean isClaiming(CallState state, ClaimId claim) {
    return state.phase() == CallState.Phase.CLAIMING && state.claim().equals(claim);
  }

  private void grant(CallState owner, long nowNanos) {
    if (!log.isHistoryComplete(owner.call())) {
      release(owner);
      calls.reply(owner, ClaimErrors.historyIncomplete());
      return;
    }
    if (nowNanos >= owner.replyDeadlineNanos()) {
      release(owner);
      calls.reply(owner, ClaimErrors.notConfirmed());
      return;
    }
    owner.setPhase(CallState.Phase.GRANTED);
    calls.startTimer(owner);
    calls.addDecision(new ClaimDecision.SendNow(owner.call().id(), owner.claim()));
  }

  /** Makes a call claim its key, wait or be refused; the call has no claim and does not wait. */
  private void admit(CallState state) {
    ClaimCall call = state.call();
    Optional<ClaimView> view = log.find(call);
    if (view.isPresent() || calls.findOwner(call.key()) != null) {
      calls.addWaiting(state);
      view.ifPresent(found -> replyFromView(found, state));
      return;
    }
    if (!logAvailable) {
      calls.reply(state, ClaimErrors.logUnavailable());
      return;
    }
    if (log.isTooFarAhead(call)) {
      awaitLogTime(state);
      return;
    }
    if (!log.isInWindow(call)) {
      calls.reply(state, ClaimErrors.keyOutOfWindow());
      return;
    }
    if (!log.isHistoryComplete(call)) {
      calls.reply(state, ClaimErrors.historyIncomplete());
      return;
    }
    claim(state);
  }

  private void claim(CallState state) {
    ClaimCall call = state.call();
    ClaimId id = new ClaimId(router, incarnation, nextCounter++);
    ClaimRecord claimed =
        new ClaimRecord.Claimed(id, call.key(), call.bodyDigest(), call.keyTimeMillis());
    if (!batcher.offer(claimed)) {
      calls.reply(state, ClaimErrors.tooManyPending());
      return;
    }
    calls.startClaim(state, id);
  }

  private void awaitLogTime(CallState state) {
    state.setPhase(CallState.Phase.AWAITING_LOG_TIME);
    if (!timeMarkQueued) {
      ClaimId id = new ClaimId(router, incarnation, nextCounter++);
      timeMarkQueued = batcher.offer(new ClaimRecord.TimeMark(id));
    }
  }

  /** Replies to the calls that wait for a key if possible, or lets the first claim a free key. */
  private void resolveWaiting(Digest256 key) {
    Optional<ClaimView> view = log.table().find(key);
    if (view.isPresent()) {
      calls.waitingCalls(key).forEach(state -> replyFromView(view.get(), state));
      return;
    }
    while (calls.findOwner(key) == null && !calls.waitingCalls(key).isEmpty()) {
      admit(calls.removeFirstWaiting(key));
    }
  }

  private void replyFromView(ClaimView view, CallState state) {
    if (!view.bodyDigest().equals(state.call().bodyDigest())) {
      calls.reply(state, ClaimErrors.keyReused());
      return;
    }
    if (view.state() == ClaimView.State.COMPLETED) {
      calls.reply(state, view.outcome());
    } else if (view.state() == ClaimView.State.OUTCOME_UNKNOWN) {
      calls.reply(state, ClaimErrors.outcomeUnknown());
    }
  }

  /** Replies to the calls of this router that wait for the outcome of the owner. */
  private void replyToWaiting(CallState owner, CallOutcome outcome) {
    for (CallState waiting : calls.waitingCalls(owner.call().key())) {
      if (waiting.call().bodyDigest().equals(owner.call().bodyDigest())) {
        calls.reply(waiting, outcome);
      } else {
        calls.reply(waiting, ClaimErrors.keyReused());
      }
    }
  }

  private void timeOut(CallState state) {
    switch (state.phase()) {
      case AWAITING_LOG_TIME -> calls.reply(state, ClaimErrors.keyOutOfWindow());
      case CLAIMING -> {
        release(state);
        calls.reply(state, ClaimErrors.notConfirmed());
      }
      case GRANTED -> {
        release(state);
        calls.reply(state, ClaimErrors.deadlinePassed());
      }
      case WAITING -> calls.reply(state, ClaimErrors.outcomeUnknown());
      case SENT -> calls.replyKeepingCall(state, ClaimErrors.outcomeUnknown());
      default -> throw new IllegalStateException("the call has an unexpected phase");
    }
  }

  private void refuseUnconfirmed() {
    logAvailable = false;
    refuseClaiming(ClaimErrors.logUnavailable());
    for (CallState state : calls.callsInPhase(CallState.Phase.AWAITING_LOG_TIME)) {
      calls.reply(state, ClaimErrors.logUnavailable());
    }
  }

  private void refuseClaiming(RequestError error) {
    for (CallState state : calls.callsInPhase(CallState.Phase.CLAIMING)) {
      release(state);
      calls.reply(state, error);
    }
  }

  /** Ends an unsent claim: withdraws it if it cannot be in the log, else queues a release. */
  private void release(CallState state) {
    if (state.claim() != null && !batcher.withdraw(state.claim())) {
      batcher.enqueue(new ClaimRecord.Released(state.claim(), state.call().key()));
    }
  }

  private CallState findSentCall(long callId) {
    CallState state = calls.findCall(callId);
    return state != null && state.phase() == CallState.Phase.SENT ? state : null;
  }

  /** Evaluates the keys whose owner was removed, adds due appends and returns all decisions. */
  private List<ClaimDecision> collectDecisions(long nowNanos) {
    calls.drainKeysToResolve().forEach(this::resolveWaiting);
    if (logAvailable) {
      batcher
          .poll(nowNanos)
          .map(append -> new ClaimDecision.AppendClaims(append.id(), append.data()))
          .ifPresent(calls::addDecision);
    }
    long wake = nextWakeNanos();
    if (wake != Long.MAX_VALUE) {
      calls.addDecision(new ClaimDecision.WakeAt(wake));
    }
    return calls.drainDecisions();
  }

  private long nextWakeNanos() {
    if (!logAvailable) {
      return calls.nextTimerNanos();
    }
    long silence = lastReadNanos + settings.logSilenceTimeoutNanos() + 1;
    return Math.min(calls.nextTimerNanos(), Math.min(batcher.nextPollNanos(), silence));
  }
}
