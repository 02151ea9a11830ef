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
 * Drives the non-idempotent calls of one router incarnation.
 *
 * <p>Every call that begins and is not cancelled receives exactly one reply, at the latest at its
 * deadline. A call is told to be sent only after its own claim was read back as the winner, and at
 * most once; after a reply that says {@code not_run} its claim is never sent for.
 */
public final class ClaimCoordinator {
  private final InstanceId router;
  private final Incarnation incarnation;
  private final ClaimSettings settings;
  private final ClaimLog log;
  private final ClaimBatcher batcher;
  private final CallBook book = new CallBook();
  private long nextCounter = 1;
  private long lastReadNanos;
  private boolean logAvailable;
  private boolean markQueued;

  /**
   * Creates a coordinator that has not read the log yet.
   *
   * @param router this router
   * @param incarnation its incarnation, never used before
   * @param settings bounds of the protocol
   */
  public ClaimCoordinator(InstanceId router, Incarnation incarnation, ClaimSettings settings) {
    this.router = router;
    this.incarnation = incarnation;
    this.settings = settings;
    this.log = new ClaimLog(settings);
    this.batcher = new ClaimBatcher(router, incarnation, settings);
  }

  /**
   * Starts a call.
   *
   * @param call the call
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> begin(ClaimCall call, long nowNanos) {
    CallState state = new CallState(call, nowNanos + settings.maxWaitNanos());
    book.add(state);
    if (nowNanos >= state.answerByNanos()) {
      book.reply(state, ClaimErrors.deadlinePassed());
    } else {
      admit(state);
    }
    return finish(nowNanos);
  }

  /**
   * Applies a read of the claim stream. A read that starts beyond {@link #nextOffset} means that
   * the log dropped entries; knowledge starts again at that offset. A read that ends before what
   * was already read is late and is ignored.
   *
   * @param read the response
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> applyRead(LogReadResult read, long nowNanos) {
    if (log.endsBeforePosition(read)) {
      return finish(nowNanos);
    }
    if (log.align(read)) {
      markQueued = false;
      refuseClaiming(ClaimErrors.historyIncomplete());
    }
    lastReadNanos = nowNanos;
    logAvailable = true;
    Set<Digest256> touched = new LinkedHashSet<>();
    log.apply(
        read,
        (claimRecord, verdict) -> {
          if (isOwn(claimRecord)) {
            batcher.recordReadBack(claimRecord);
            applyOwn(claimRecord, verdict, nowNanos);
          }
          claimRecord.keyDigest().filter(book::hasKey).ifPresent(touched::add);
        });
    touched.forEach(this::resolve);
    if (log.caughtUp(read)) {
      batcher.requeueMissing(nowNanos);
    }
    book.inPhase(CallState.Phase.AWAITING_TIME).forEach(this::admit);
    return finish(nowNanos);
  }

  /**
   * The log confirmed an append.
   *
   * @param appendId number of the append
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> recordAppendSuccess(long appendId, long nowNanos) {
    batcher.recordAppendSuccess(appendId);
    return finish(nowNanos);
  }

  /**
   * The log certainly did not take an append, for example over its rate limit.
   *
   * @param appendId number of the append
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> recordAppendFailure(long appendId, long nowNanos) {
    batcher.recordAppendFailure(appendId, nowNanos);
    return finish(nowNanos);
  }

  /**
   * An append has no response; it may have taken effect or may still do so.
   *
   * @param appendId number of the append
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> recordUncertainAppend(long appendId, long nowNanos) {
    batcher.recordUncertainAppend(appendId, nowNanos);
    return finish(nowNanos);
  }

  /**
   * Asks, directly before the first byte leaves, whether a granted call may still be sent.
   *
   * @param callId number of the call
   * @param nowNanos current time
   * @return true exactly once a call, and only before its deadline and before any reply
   */
  public boolean tryMarkSent(long callId, long nowNanos) {
    CallState state = book.find(callId);
    boolean allowed =
        state != null
            && state.phase() == CallState.Phase.GRANTED
            && nowNanos < state.call().deadlineNanos();
    if (allowed) {
      state.moveTo(CallState.Phase.SENT);
    }
    return allowed;
  }

  /**
   * The service answered a sent call.
   *
   * @param callId number of the call
   * @param outcome the answer
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> recordOutcome(long callId, CallOutcome outcome, long nowNanos) {
    CallState state = sentCall(callId);
    if (state == null) {
      return finish(nowNanos);
    }
    batcher.enqueue(new ClaimRecord.Completed(state.claim(), state.call().key(), outcome));
    book.reply(state, outcome);
    answerLocalWaiters(state, outcome);
    return finish(nowNanos);
  }

  /**
   * The response of a sent call was lost; the service may have run it.
   *
   * @param callId number of the call
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> recordResponseLost(long callId, long nowNanos) {
    CallState state = sentCall(callId);
    if (state != null) {
      batcher.enqueue(new ClaimRecord.OutcomeUnknown(state.claim(), state.call().key()));
      book.reply(state, ClaimErrors.outcomeUnknown());
    }
    return finish(nowNanos);
  }

  /**
   * A granted or sent call certainly did not reach the service; its key becomes free again.
   *
   * @param callId number of the call
   * @param reason what the caller is told
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> recordNotSent(
      long callId, RequestError.Refusal reason, long nowNanos) {
    CallState state = book.find(callId);
    boolean running =
        state != null
            && (state.phase() == CallState.Phase.GRANTED || state.phase() == CallState.Phase.SENT);
    if (running) {
      release(state);
      book.reply(state, reason);
    }
    return finish(nowNanos);
  }

  /**
   * The caller went away; a call that was not sent is given up, a sent one goes on.
   *
   * @param callId number of the call
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> cancel(long callId, long nowNanos) {
    CallState state = book.find(callId);
    if (state != null) {
      state.markAnswered();
      if (state.phase() != CallState.Phase.SENT) {
        release(state);
        book.forget(state);
      }
    }
    return finish(nowNanos);
  }

  /**
   * Time passed: answers calls whose time is over and appends what is due.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> tick(long nowNanos) {
    if (logAvailable && nowNanos - lastReadNanos > settings.logSilenceTimeoutNanos()) {
      refuseUnconfirmed();
    }
    for (CallState due = book.takeDue(nowNanos); due != null; due = book.takeDue(nowNanos)) {
      timeOut(due);
    }
    return finish(nowNanos);
  }

  /**
   * The log cannot be read. Calls whose claim is not confirmed are refused; they are never sent,
   * and their claims are released when the log can be read again.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<ClaimDecision> markLogUnavailable(long nowNanos) {
    refuseUnconfirmed();
    return finish(nowNanos);
  }

  /**
   * Offset from which the log is to be read next.
   *
   * @return an offset; 0 before the first read
   */
  public long nextOffset() {
    return log.nextOffset();
  }

  /**
   * State that follows from the log, for metrics and the state page.
   *
   * @return the table
   */
  public ClaimTable table() {
    return log.table();
  }

  /**
   * Decoder of the claim stream, for its counters.
   *
   * @return the codec
   */
  public ClaimCodec codec() {
    return log.codec();
  }

  /**
   * Calls that are not finished.
   *
   * @return a count
   */
  public int openCallCount() {
    return book.size();
  }

  private boolean isOwn(ClaimRecord claimRecord) {
    ClaimId id = claimRecord.claim();
    return id.router().equals(router) && id.incarnation().equals(incarnation);
  }

  private void applyOwn(ClaimRecord claimRecord, ClaimTable.Verdict verdict, long nowNanos) {
    if (claimRecord instanceof ClaimRecord.TimeMark) {
      markQueued = false;
      return;
    }
    if (!(claimRecord instanceof ClaimRecord.Claimed claimed)) {
      return;
    }
    CallState owner = book.owner(claimed.key());
    if (owner == null || !isClaiming(owner, claimed.claim())) {
      return;
    }
    switch (verdict) {
      case WON -> grant(owner, nowNanos);
      case LOST -> {
        // A copy of the lost claim that takes effect late could win after the holder's release.
        release(owner);
        book.ownerLost(owner);
      }
      case OUT_OF_WINDOW -> book.reply(owner, ClaimErrors.keyOutOfWindow());
      default -> {
        return;
      }
    }
  }

  private static boolean isClaiming(CallState state, ClaimId claim) {
    return state.phase() == CallState.Phase.CLAIMING && state.claim().equals(claim);
  }

  private void grant(CallState owner, long nowNanos) {
    if (!log.historyComplete(owner.call())) {
      release(owner);
      book.reply(owner, ClaimErrors.historyIncomplete());
      return;
    }
    if (nowNanos >= owner.answerByNanos()) {
      release(owner);
      book.reply(owner, ClaimErrors.notConfirmed());
      return;
    }
    owner.moveTo(CallState.Phase.GRANTED);
    book.startTimer(owner);
    book.decide(new ClaimDecision.SendNow(owner.call().id(), owner.claim()));
  }

  /** Decides about a call that neither holds a claim nor waits for one. */
  private void admit(CallState state) {
    ClaimCall call = state.call();
    Optional<ClaimView> view = log.find(call);
    if (view.isPresent() || book.owner(call.key()) != null) {
      book.makeWaiting(state);
      view.ifPresent(present -> answerFrom(present, state));
      return;
    }
    if (!logAvailable) {
      book.reply(state, ClaimErrors.logUnavailable());
      return;
    }
    if (log.tooFarAhead(call)) {
      awaitTime(state);
      return;
    }
    if (!log.inWindow(call)) {
      book.reply(state, ClaimErrors.keyOutOfWindow());
      return;
    }
    if (!log.historyComplete(call)) {
      book.reply(state, ClaimErrors.historyIncomplete());
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
      book.reply(state, ClaimErrors.tooManyPending());
      return;
    }
    book.makeOwner(state, id);
  }

  private void awaitTime(CallState state) {
    state.moveTo(CallState.Phase.AWAITING_TIME);
    if (!markQueued) {
      ClaimId id = new ClaimId(router, incarnation, nextCounter++);
      markQueued = batcher.offer(new ClaimRecord.TimeMark(id));
    }
  }

  /** Answers waiting calls of a key when the log says enough, or lets the first of them claim. */
  private void resolve(Digest256 key) {
    Optional<ClaimView> view = log.table().find(key);
    if (view.isPresent()) {
      book.waiting(key).forEach(state -> answerFrom(view.get(), state));
      return;
    }
    while (book.owner(key) == null && !book.waiting(key).isEmpty()) {
      admit(book.takeFirstWaiting(key));
    }
  }

  private void answerFrom(ClaimView view, CallState state) {
    if (!view.bodyDigest().equals(state.call().bodyDigest())) {
      book.reply(state, ClaimErrors.keyReused());
      return;
    }
    if (view.state() == ClaimView.State.COMPLETED) {
      book.reply(state, view.outcome());
    } else if (view.state() == ClaimView.State.OUTCOME_UNKNOWN) {
      book.reply(state, ClaimErrors.outcomeUnknown());
    }
  }

  private void answerLocalWaiters(CallState owner, CallOutcome outcome) {
    for (CallState waiting : book.waiting(owner.call().key())) {
      if (waiting.call().bodyDigest().equals(owner.call().bodyDigest())) {
        book.reply(waiting, outcome);
      } else {
        book.reply(waiting, ClaimErrors.keyReused());
      }
    }
  }

  private void timeOut(CallState state) {
    switch (state.phase()) {
      case AWAITING_TIME -> book.reply(state, ClaimErrors.keyOutOfWindow());
      case CLAIMING -> {
        release(state);
        book.reply(state, ClaimErrors.notConfirmed());
      }
      case GRANTED -> {
        release(state);
        book.reply(state, ClaimErrors.deadlinePassed());
      }
      case WAITING -> book.reply(state, ClaimErrors.outcomeUnknown());
      case SENT -> book.replyAndKeep(state, ClaimErrors.outcomeUnknown());
      default -> throw new IllegalStateException("call has no phase");
    }
  }

  private void refuseUnconfirmed() {
    logAvailable = false;
    refuseClaiming(ClaimErrors.logUnavailable());
    for (CallState state : book.inPhase(CallState.Phase.AWAITING_TIME)) {
      book.reply(state, ClaimErrors.logUnavailable());
    }
  }

  private void refuseClaiming(RequestError error) {
    for (CallState state : book.inPhase(CallState.Phase.CLAIMING)) {
      release(state);
      book.reply(state, error);
    }
  }

  /** Ends an unsent claim: takes it back when the log cannot hold it, else appends a release. */
  private void release(CallState state) {
    if (state.claim() != null && !batcher.withdraw(state.claim())) {
      batcher.enqueue(new ClaimRecord.Released(state.claim(), state.call().key()));
    }
  }

  private CallState sentCall(long callId) {
    CallState state = book.find(callId);
    return state != null && state.phase() == CallState.Phase.SENT ? state : null;
  }

  private List<ClaimDecision> finish(long nowNanos) {
    book.takeUndecided().forEach(this::resolve);
    if (logAvailable) {
      batcher
          .poll(nowNanos)
          .map(append -> new ClaimDecision.AppendClaims(append.id(), append.data()))
          .ifPresent(book::decide);
    }
    long wake = wakeNanos();
    if (wake != Long.MAX_VALUE) {
      book.decide(new ClaimDecision.WakeAt(wake));
    }
    return book.takeDecisions();
  }

  private long wakeNanos() {
    if (!logAvailable) {
      return book.nextTimerNanos();
    }
    long silence = lastReadNanos + settings.logSilenceTimeoutNanos() + 1;
    return Math.min(book.nextTimerNanos(), Math.min(batcher.nextPollNanos(), silence));
  }
}
