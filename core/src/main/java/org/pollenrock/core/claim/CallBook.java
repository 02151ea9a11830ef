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
 * Open calls of one router by number and by key, with their timers and replies.
 *
 * <p>Notes the keys whose waiting calls must be decided again because the call that claimed for
 * them is gone.
 */
final class CallBook {
  private final Map<Long, CallState> calls = new HashMap<>();
  private final Map<Digest256, KeyCalls> keys = new HashMap<>();
  private final Set<Digest256> undecided = new LinkedHashSet<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::nanos));
  private List<ClaimDecision> decisions = new ArrayList<>();

  private record Timer(long nanos, long callId) {}

  /** Calls of one key: the one whose claim is in progress, and those that wait. */
  private static final class KeyCalls {
    private CallState owner;
    private final List<CallState> waiting = new ArrayList<>();
  }

  void add(CallState state) {
    if (calls.putIfAbsent(state.call().id(), state) != null) {
      throw new IllegalArgumentException("call " + state.call().id() + " has begun before");
    }
    startTimer(state);
  }

  CallState find(long callId) {
    return calls.get(callId);
  }

  int size() {
    return calls.size();
  }

  List<CallState> inPhase(CallState.Phase phase) {
    return calls.values().stream().filter(state -> state.phase() == phase).toList();
  }

  boolean hasKey(Digest256 key) {
    return keys.containsKey(key);
  }

  CallState owner(Digest256 key) {
    KeyCalls keyCalls = keys.get(key);
    return keyCalls == null ? null : keyCalls.owner;
  }

  List<CallState> waiting(Digest256 key) {
    KeyCalls keyCalls = keys.get(key);
    return keyCalls == null ? List.of() : List.copyOf(keyCalls.waiting);
  }

  void makeOwner(CallState state, ClaimId claim) {
    state.claimWith(claim);
    keyCalls(state).owner = state;
  }

  void makeWaiting(CallState state) {
    state.moveTo(CallState.Phase.WAITING);
    keyCalls(state).waiting.add(state);
  }

  /** The owner's claim lost: it waits first for the outcome of the claim that won. */
  void ownerLost(CallState owner) {
    KeyCalls keyCalls = keyCalls(owner);
    keyCalls.owner = null;
    owner.loseClaim();
    keyCalls.waiting.addFirst(owner);
  }

  CallState takeFirstWaiting(Digest256 key) {
    return keys.get(key).waiting.removeFirst();
  }

  void decide(ClaimDecision decision) {
    decisions.add(decision);
  }

  void reply(CallState state, RequestError error) {
    replyAndKeep(state, error);
    forget(state);
  }

  /** Answers the caller of a sent call whose result still has to be recorded. */
  void replyAndKeep(CallState state, RequestError error) {
    if (!state.answered()) {
      decisions.add(new ClaimDecision.ReplyError(state.call().id(), error));
      state.markAnswered();
    }
  }

  /** Answers with the outcome, or says that the call ran when its body is not kept. */
  void reply(CallState state, CallOutcome outcome) {
    if (!outcome.bodyKept()) {
      reply(state, ClaimErrors.outcomeNotKept());
      return;
    }
    if (!state.answered()) {
      decisions.add(new ClaimDecision.ReplyOutcome(state.call().id(), outcome));
      state.markAnswered();
    }
    forget(state);
  }

  void forget(CallState state) {
    calls.remove(state.call().id());
    Digest256 key = state.call().key();
    KeyCalls keyCalls = keys.get(key);
    if (keyCalls == null) {
      return;
    }
    keyCalls.waiting.remove(state);
    if (keyCalls.owner == state) {
      keyCalls.owner = null;
      undecided.add(key);
    }
    if (keyCalls.owner == null && keyCalls.waiting.isEmpty()) {
      keys.remove(key);
    }
  }

  /** Takes the keys to decide again since the last call of this method. */
  List<Digest256> takeUndecided() {
    List<Digest256> taken = List.copyOf(undecided);
    undecided.clear();
    return taken;
  }

  void startTimer(CallState state) {
    timers.add(new Timer(state.answerByNanos(), state.call().id()));
  }

  /** Takes a call whose time to be answered has come, or null when there is none. */
  CallState takeDue(long nowNanos) {
    while (!timers.isEmpty() && timers.peek().nanos() <= nowNanos) {
      CallState state = calls.get(timers.remove().callId());
      if (state == null || state.answered()) {
        continue;
      }
      if (state.answerByNanos() <= nowNanos) {
        return state;
      }
      startTimer(state);
    }
    return null;
  }

  long nextTimerNanos() {
    while (!timers.isEmpty() && !calls.containsKey(timers.peek().callId())) {
      timers.remove();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().nanos();
  }

  List<ClaimDecision> takeDecisions() {
    List<ClaimDecision> taken = decisions;
    decisions = new ArrayList<>();
    return taken;
  }

  private KeyCalls keyCalls(CallState state) {
    return keys.computeIfAbsent(state.call().key(), key -> new KeyCalls());
  }
}
