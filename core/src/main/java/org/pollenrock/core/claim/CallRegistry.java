package org.pollenrock.core.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.pollenrock.core.error.RequestError;

/**
 * Registry of the open non-idempotent calls of one router, indexed by call id and by key.
 *
 * <p>The registry also holds the reply timers of the calls, collects the decisions that the router
 * has to carry out, and records the keys whose waiting calls must be evaluated again because the
 * call that claimed the key was removed. A call receives at most one reply.
 */
final class CallRegistry {
  private final Map<Long, CallState> callsById = new HashMap<>();
  private final Map<Digest256, KeyCalls> callsByKey = new HashMap<>();
  private final Set<Digest256> keysToResolve = new LinkedHashSet<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::nanos));
  private List<ClaimDecision> decisions = new ArrayList<>();

  /** Time at which a call may need its reply; the deadline of the call may have moved since. */
  private record Timer(long nanos, long callId) {}

  /** Calls of one key: the owner, whose claim is in progress or won, and the waiting calls. */
  private static final class KeyCalls {
    private CallState owner;
    private final List<CallState> waiting = new ArrayList<>();
  }

  /**
   * Adds a new call and starts its timer.
   *
   * @throws IllegalArgumentException when a call with the same id is open
   */
  void add(CallState state) {
    if (callsById.putIfAbsent(state.call().id(), state) != null) {
      throw new IllegalArgumentException("call " + state.call().id() + " was already started");
    }
    startTimer(state);
  }

  /** Returns the open call with the id, or null when there is none. */
  CallState findCall(long callId) {
    return callsById.get(callId);
  }

  int size() {
    return callsById.size();
  }

  List<CallState> callsInPhase(CallState.Phase phase) {
    return callsById.values().stream().filter(state -> state.phase() == phase).toList();
  }

  boolean hasKey(Digest256 key) {
    return callsByKey.containsKey(key);
  }

  /** Returns the call of this router that claimed the key, or null when there is none. */
  CallState findOwner(Digest256 key) {
    KeyCalls keyCalls = callsByKey.get(key);
    return keyCalls == null ? null : keyCalls.owner;
  }

  /** Returns a copy of the calls that wait for the key, in the order in which they may claim. */
  List<CallState> waitingCalls(Digest256 key) {
    KeyCalls keyCalls = callsByKey.get(key);
    return keyCalls == null ? List.of() : List.copyOf(keyCalls.waiting);
  }

  /** Makes the call the owner of its key, with the claim that was queued for it. */
  void startClaim(CallState state, ClaimId claim) {
    state.startClaim(claim);
    callsOfKey(state).owner = state;
  }

  /** Adds the call at the end of the calls that wait for its key. */
  void addWaiting(CallState state) {
    state.setPhase(CallState.Phase.WAITING);
    callsOfKey(state).waiting.add(state);
  }

  /** Puts an owner whose claim lost at the head of the calls that wait for the key. */
  void moveOwnerToWaiting(CallState owner) {
    KeyCalls keyCalls = callsOfKey(owner);
    keyCalls.owner = null;
    owner.clearClaim();
    keyCalls.waiting.addFirst(owner);
  }

  /** Removes and returns the first call that waits for the key; there must be one. */
  CallState removeFirstWaiting(Digest256 key) {
    return callsByKey.get(key).waiting.removeFirst();
  }

  void addDecision(ClaimDecision decision) {
    decisions.add(decision);
  }

  /** Replies with the error and removes the call. */
  void reply(CallState state, RequestError error) {
    replyKeepingCall(state, error);
    remove(state);
  }

  /** Replies with the error but keeps a sent call, whose outcome must still be recorded. */
  void replyKeepingCall(CallState state, RequestError error) {
    if (!state.isAnswered()) {
      decisions.add(new ClaimDecision.ReplyError(state.call().id(), error));
      state.markAnswered();
    }
  }

  /**
   * Replies with the outcome and removes the call. When the body of the outcome is not kept, the
   * reply is an error that says that the call ran.
   */
  void reply(CallState state, CallOutcome outcome) {
    if (!outcome.bodyKept()) {
      reply(state, ClaimErrors.outcomeNotKept());
      return;
    }
    if (!state.isAnswered()) {
      decisions.add(new ClaimDecision.ReplyOutcome(state.call().id(), outcome));
      state.markAnswered();
    }
    remove(state);
  }

  /** Removes the call; the calls that wait for a key without an owner are evaluated again. */
  void remove(CallState state) {
    callsById.remove(state.call().id());
    Digest256 key = state.call().key();
    KeyCalls keyCalls = callsByKey.get(key);
    if (keyCalls == null) {
      return;
    }
    keyCalls.waiting.remove(state);
    if (keyCalls.owner == state) {
      keyCalls.owner = null;
      keysToResolve.add(key);
    }
    if (keyCalls.owner == null && keyCalls.waiting.isEmpty()) {
      callsByKey.remove(key);
    }
  }

  /** Returns and clears the keys whose owner was removed since the last call of this method. */
  List<Digest256> drainKeysToResolve() {
    List<Digest256> drained = List.copyOf(keysToResolve);
    keysToResolve.clear();
    return drained;
  }

  /**
   * Starts a timer for the current reply deadline of the call. Called for a new call, and again
   * when a change of its phase moves the deadline.
   */
  void startTimer(CallState state) {
    timers.add(new Timer(state.replyDeadlineNanos(), state.call().id()));
  }

  /** Returns a call without a reply whose reply deadline has passed, or null. */
  CallState pollDueCall(long nowNanos) {
    while (!timers.isEmpty() && timers.peek().nanos() <= nowNanos) {
      CallState state = callsById.get(timers.remove().callId());
      if (state == null || state.isAnswered()) {
        continue;
      }
      if (state.replyDeadlineNanos() <= nowNanos) {
        return state;
      }
      startTimer(state);
    }
    return null;
  }

  /** Returns the time of the next timer, or {@link Long#MAX_VALUE} when no call is open. */
  long nextTimerNanos() {
    while (!timers.isEmpty() && !callsById.containsKey(timers.peek().callId())) {
      timers.remove();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().nanos();
  }

  /** Returns and clears the collected decisions, in the order in which they were added. */
  List<ClaimDecision> drainDecisions() {
    List<ClaimDecision> drained = decisions;
    decisions = new ArrayList<>();
    return drained;
  }

  private KeyCalls callsOfKey(CallState state) {
    return callsByKey.computeIfAbsent(state.call().key(), key -> new KeyCalls());
  }
}
