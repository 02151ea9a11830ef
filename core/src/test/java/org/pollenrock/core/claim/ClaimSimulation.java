package org.pollenrock.core.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.InMemoryLog;
import org.pollenrock.core.record.LogReadResult;

/**
 * Several routers, one log and one service under a schedule of numbers; records every breach of
 * at-most-once, truthful-refusal and the time bound of answers.
 */
final class ClaimSimulation {
  private static final long MILLI = ClaimHarness.MILLI;
  private static final long START_MILLIS = ClaimHarness.START_MILLIS;
  private static final long RETENTION_MILLIS = 40 * 60_000L;
  private static final int MAX_AHEAD_MILLIS = 50_000;
  private static final int KEYS = 3;

  private final InMemoryLog log = new InMemoryLog(START_MILLIS);
  private final List<Node> nodes = new ArrayList<>();
  private final ArrayDeque<byte[]> lateAppends = new ArrayDeque<>();
  private final Map<Digest256, Integer> executions = new HashMap<>();
  private final Map<Digest256, CallOutcome> results = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private final int[] keyGeneration = new int[KEYS];
  private final long[] keyTimes = new long[KEYS];
  private long nowNanos;
  private long nextCallId = 1;
  private long nextIncarnation = 1;
  private boolean outage;
  private int outcomes;

  /** One caller's request and what became of it. */
  private static final class Attempt {
    private final ClaimCall call;
    private boolean executed;
    private RequestError refusal;
    private boolean answered;

    private Attempt(ClaimCall call) {
      this.call = call;
    }
  }

  /** One router process; the offset makes the monotonic clocks of routers differ. */
  private final class Node {
    private final InstanceId id;
    private final long clockOffset;
    private ClaimCoordinator coordinator;
    private long pausedUntil;
    private boolean isolated;
    private LogReadResult delayedRead;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final ArrayDeque<Long> granted = new ArrayDeque<>();
    private final ArrayDeque<Long> onWire = new ArrayDeque<>();
    private final ArrayDeque<ClaimDecision.AppendClaims> appends = new ArrayDeque<>();

    private Node(int number) {
      id = new InstanceId("router-" + number);
      clockOffset = number * 77_777_777L;
      restart();
    }

    private void restart() {
      onWire.forEach(callId -> execute(attempts.get(callId)));
      coordinator =
          new ClaimCoordinator(id, new Incarnation(nextIncarnation++), ClaimSettings.defaults());
      attempts.clear();
      granted.clear();
      onWire.clear();
      appends.clear();
      delayedRead = null;
      pausedUntil = 0;
    }

    private long clock() {
      return nowNanos + clockOffset;
    }

    private boolean runs() {
      return pausedUntil <= nowNanos;
    }

    private boolean reachesLog() {
      return runs() && !outage && !isolated;
    }

    private void accept(List<ClaimDecision> decisions) {
      for (ClaimDecision decision : decisions) {
        switch (decision) {
          case ClaimDecision.AppendClaims append -> appends.add(append);
          case ClaimDecision.SendNow send -> granted.add(send.callId());
          case ClaimDecision.ReplyOutcome reply -> replied(reply);
          case ClaimDecision.ReplyError reply -> refused(reply);
          case ClaimDecision.WakeAt wake -> {
            continue;
          }
        }
      }
    }

    private void replied(ClaimDecision.ReplyOutcome reply) {
      Attempt attempt = attempts.get(reply.callId());
      answer(attempt);
      outcomes++;
      CallOutcome ran = results.get(attempt.call.key());
      if (ran == null || ran.status() != reply.outcome().status()) {
        breaches.add("outcome of a run that did not happen");
      }
    }

    private void refused(ClaimDecision.ReplyError reply) {
      Attempt attempt = attempts.get(reply.callId());
      answer(attempt);
      RunState state = reply.error().runState();
      if (state == RunState.NOT_RUN) {
        attempt.refusal = reply.error();
        if (attempt.executed) {
          breaches.add("truthful-refusal: refused after its run");
        }
      }
      if (state == RunState.RAN && !executions.containsKey(attempt.call.key())) {
        breaches.add("truthful-refusal: ran without a run");
      }
    }

    private void answer(Attempt attempt) {
      if (attempt.answered) {
        breaches.add("two replies to one call");
      }
      attempt.answered = true;
    }

    private void tick() {
      if (!runs()) {
        return;
      }
      accept(coordinator.tick(clock()));
      for (Attempt attempt : attempts.values()) {
        if (!attempt.answered && attempt.call.deadlineNanos() <= clock()) {
          breaches.add("no answer by the deadline");
        }
      }
    }

    private void read(int maximum) {
      if (!reachesLog()) {
        if (runs()) {
          accept(coordinator.markLogUnavailable(clock()));
        }
        return;
      }
      accept(coordinator.applyRead(log.read(coordinator.nextOffset(), maximum), clock()));
    }
  }

  ClaimSimulation(int routers) {
    for (int i = 0; i < routers; i++) {
      nodes.add(new Node(i));
    }
    for (int key = 0; key < KEYS; key++) {
      keyTimes[key] = START_MILLIS;
    }
    log.append(ClaimCodec.encodeHeader(new InstanceId("setup"), new Incarnation(0)));
    nodes.forEach(node -> node.read(100));
  }

  List<String> breaches() {
    return breaches;
  }

  int executions() {
    return executions.size();
  }

  int outcomes() {
    return outcomes;
  }

  /**
   * Carries out one number of the schedule: the low part names the step, the rest its arguments.
   */
  void step(int number) {
    Node node = nodes.get((number >> 5) % nodes.size());
    int argument = number >> 8;
    switch (number & 31) {
      case 0, 1, 2, 3, 4 -> begin(node, argument);
      case 5, 6, 7, 8 -> node.read(100);
      case 9 -> node.read(1);
      case 10, 11, 12, 13 -> finishAppend(node, argument);
      case 14, 15, 16 -> send(node);
      case 17, 18 -> respond(node, argument);
      case 19, 20 -> advance((argument % 50 + 1) * MILLI);
      case 21 -> advance((argument % 4_000 + 1) * MILLI);
      case 22 -> advance(argument % 8 == 0 ? 25 * 60_000 * MILLI : 700 * MILLI);
      case 23 -> crash(node, argument);
      case 24 -> pause(node, argument);
      case 25 -> outage = argument % 8 == 0;
      case 26 -> node.isolated = argument % 6 == 0;
      case 27 -> truncate(argument);
      case 28 -> takeLateEffect();
      case 29 -> delayRead(node);
      case 30 -> cancel(node, argument);
      default -> newKey(argument);
    }
  }

  /** Ends all faults and lets time pass until every call must have been answered. */
  void heal() {
    outage = false;
    for (Node node : nodes) {
      node.isolated = false;
      node.pausedUntil = 0;
    }
    for (int i = 0; i < 8; i++) {
      for (Node node : nodes) {
        while (!node.appends.isEmpty()) {
          finishAppend(node, 0);
        }
        node.read(100);
        send(node);
        respond(node, 0);
      }
      advance(4_000 * MILLI);
    }
  }

  private void begin(Node node, int argument) {
    if (!node.runs()) {
      return;
    }
    int index = argument % KEYS;
    long id = nextCallId++;
    Digest256 key = new Digest256(index, keyGeneration[index], 0, 0);
    Digest256 body = new Digest256(argument % 7 == 0 ? 1 : 0, 0, 0, 0);
    long deadline = node.clock() + (argument % 9 + 1) * 2_000 * MILLI;
    ClaimCall call = new ClaimCall(id, key, keyTimes[index], body, deadline);
    node.attempts.put(id, new Attempt(call));
    node.accept(node.coordinator.begin(call, node.clock()));
  }

  private void finishAppend(Node node, int argument) {
    if (node.appends.isEmpty() || !node.runs()) {
      return;
    }
    ClaimDecision.AppendClaims append = node.appends.remove();
    long id = append.appendId();
    int fate = node.reachesLog() ? argument % 8 : 4;
    switch (fate) {
      case 4 -> node.accept(node.coordinator.recordAppendFailure(id, node.clock()));
      case 5 -> {
        log.append(append.data());
        node.accept(node.coordinator.recordUncertainAppend(id, node.clock()));
      }
      case 6 -> node.accept(node.coordinator.recordUncertainAppend(id, node.clock()));
      case 7 -> {
        lateAppends.add(append.data());
        node.accept(node.coordinator.recordUncertainAppend(id, node.clock()));
      }
      default -> {
        log.append(append.data());
        node.accept(node.coordinator.recordAppendSuccess(id, node.clock()));
      }
    }
  }

  private void send(Node node) {
    if (node.granted.isEmpty() || !node.runs()) {
      return;
    }
    long callId = node.granted.remove();
    if (node.coordinator.tryMarkSent(callId, node.clock())) {
      node.onWire.add(callId);
    }
  }

  private void respond(Node node, int argument) {
    if (node.onWire.isEmpty() || !node.runs()) {
      return;
    }
    long callId = node.onWire.remove();
    Attempt attempt = node.attempts.get(callId);
    switch (argument % 5) {
      case 3 -> {
        execute(attempt);
        node.accept(node.coordinator.recordResponseLost(callId, node.clock()));
      }
      case 4 ->
          node.accept(node.coordinator.recordNotSent(callId, ClaimHarness.NO_SERVER, node.clock()));
      default -> {
        execute(attempt);
        CallOutcome outcome = results.get(attempt.call.key());
        node.accept(node.coordinator.recordOutcome(callId, outcome, node.clock()));
      }
    }
  }

  private void execute(Attempt attempt) {
    if (executions.merge(attempt.call.key(), 1, Integer::sum) > 1) {
      breaches.add("at-most-once: second run of a key");
    }
    attempt.executed = true;
    if (attempt.refusal != null) {
      breaches.add("truthful-refusal: run after " + attempt.refusal.code());
    }
    int status = 200 + (int) (attempt.call.id() % 90);
    results.putIfAbsent(attempt.call.key(), CallOutcome.of(status, "", new byte[0]));
  }

  private void advance(long nanos) {
    nowNanos += nanos;
    log.timeMillis(START_MILLIS + nowNanos / MILLI);
    nodes.forEach(Node::tick);
  }

  private void crash(Node node, int argument) {
    if (argument % 2 == 0) {
      node.appends.forEach(append -> lateAppends.add(append.data()));
    }
    node.restart();
  }

  private void pause(Node node, int argument) {
    long length = argument % 12 == 0 ? 3_600_000 * MILLI : argument % 1_500 * MILLI;
    node.pausedUntil = nowNanos + length;
  }

  private void truncate(int argument) {
    if (argument % 16 == 0) {
      log.truncate(argument / 16 % 6);
    } else {
      log.dropEntriesOlderThan(log.timeMillis() - RETENTION_MILLIS);
    }
  }

  private void takeLateEffect() {
    if (!lateAppends.isEmpty() && !outage) {
      log.append(lateAppends.remove());
    }
  }

  private void delayRead(Node node) {
    if (!node.reachesLog()) {
      return;
    }
    if (node.delayedRead == null) {
      node.delayedRead = log.read(node.coordinator.nextOffset(), 100);
      return;
    }
    LogReadResult late = node.delayedRead;
    node.delayedRead = null;
    node.accept(node.coordinator.applyRead(late, node.clock()));
  }

  private void cancel(Node node, int argument) {
    List<Attempt> open =
        node.attempts.values().stream().filter(attempt -> !attempt.answered).toList();
    if (open.isEmpty() || !node.runs()) {
      return;
    }
    Attempt attempt = open.get(argument % open.size());
    attempt.answered = true;
    node.accept(node.coordinator.cancel(attempt.call.id(), node.clock()));
  }

  private void newKey(int argument) {
    int index = argument % KEYS;
    keyGeneration[index]++;
    keyTimes[index] = log.timeMillis() + argument % MAX_AHEAD_MILLIS;
  }
}
