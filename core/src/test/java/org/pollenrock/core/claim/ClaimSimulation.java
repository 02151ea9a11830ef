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
 * Simulates several routers, one log and one service that carry out a schedule of encoded steps.
 * Records every violation of at-most-once, truthful-refusal and the deadline of replies.
 */
final class ClaimSimulation {
  private static final long NANOS_PER_MILLI = ClaimHarness.NANOS_PER_MILLI;
  private static final long START_MILLIS = ClaimHarness.START_MILLIS;
  private static final long RETENTION_MILLIS = 40 * 60_000L;
  private static final int MAX_AHEAD_MILLIS = 50_000;
  private static final int KEY_COUNT = 3;

  private final InMemoryLog log = new InMemoryLog(START_MILLIS);
  private final List<RouterProcess> routers = new ArrayList<>();
  private final ArrayDeque<byte[]> lateAppends = new ArrayDeque<>();
  private final Map<Digest256, Integer> executions = new HashMap<>();
  private final Map<Digest256, CallOutcome> results = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final int[] keyGenerations = new int[KEY_COUNT];
  private final long[] keyTimesMillis = new long[KEY_COUNT];
  private long nowNanos;
  private long nextCallId = 1;
  private long nextIncarnation = 1;
  private boolean logOutage;
  private int outcomeReplyCount;

  /** Request of a caller, with the observed execution and reply. */
  private static final class Request {
    private final ClaimCall call;
    private boolean executed;
    private RequestError refusal;
    private boolean replied;

    private Request(ClaimCall call) {
      this.call = call;
    }
  }

  /** Router process. The offset makes the monotonic clocks of the routers differ. */
  private final class RouterProcess {
    private final InstanceId id;
    private final long clockOffsetNanos;
    private ClaimCoordinator coordinator;
    private long pausedUntilNanos;
    private boolean disconnected;
    private LogReadResult delayedRead;
    private final Map<Long, Request> requestsById = new HashMap<>();
    private final ArrayDeque<Long> grantedCalls = new ArrayDeque<>();
    private final ArrayDeque<Long> sentCalls = new ArrayDeque<>();
    private final ArrayDeque<ClaimDecision.AppendClaims> appends = new ArrayDeque<>();

    private RouterProcess(int number) {
      id = new InstanceId("router-" + number);
      clockOffsetNanos = number * 77_777_777L;
      restart();
    }

    private void restart() {
      sentCalls.forEach(callId -> execute(requestsById.get(callId)));
      coordinator =
          new ClaimCoordinator(id, new Incarnation(nextIncarnation++), ClaimSettings.defaults());
      requestsById.clear();
      grantedCalls.clear();
      sentCalls.clear();
      appends.clear();
      delayedRead = null;
      pausedUntilNanos = 0;
    }

    private long clockNanos() {
      return nowNanos + clockOffsetNanos;
    }

    private boolean isRunning() {
      return pausedUntilNanos <= nowNanos;
    }

    private boolean canReachLog() {
      return isRunning() && !logOutage && !disconnected;
    }

    private void apply(List<ClaimDecision> decisions) {
      for (ClaimDecision decision : decisions) {
        switch (decision) {
          case ClaimDecision.AppendClaims append -> appends.add(append);
          case ClaimDecision.SendNow send -> grantedCalls.add(send.callId());
          case ClaimDecision.ReplyOutcome reply -> recordOutcomeReply(reply);
          case ClaimDecision.ReplyError reply -> recordErrorReply(reply);
          case ClaimDecision.WakeAt wake -> {
            continue;
          }
        }
      }
    }

    private void recordOutcomeReply(ClaimDecision.ReplyOutcome reply) {
      Request request = requestsById.get(reply.callId());
      markReplied(request);
      outcomeReplyCount++;
      CallOutcome expected = results.get(request.call.key());
      if (expected == null || expected.status() != reply.outcome().status()) {
        violations.add("outcome reply without a matching run");
      }
    }

    private void recordErrorReply(ClaimDecision.ReplyError reply) {
      Request request = requestsById.get(reply.callId());
      markReplied(request);
      RunState state = reply.error().runState();
      if (state == RunState.NOT_RUN) {
        request.refusal = reply.error();
        if (request.executed) {
          violations.add("truthful-refusal: reply says not run, but the request ran");
        }
      }
      if (state == RunState.RAN && !executions.containsKey(request.call.key())) {
        violations.add("truthful-refusal: reply says that the request ran, but it did not");
      }
    }

    private void markReplied(Request request) {
      if (request.replied) {
        violations.add("two replies to one call");
      }
      request.replied = true;
    }

    private void tick() {
      if (!isRunning()) {
        return;
      }
      apply(coordinator.tick(clockNanos()));
      for (Request request : requestsById.values()) {
        if (!request.replied && request.call.deadlineNanos() <= clockNanos()) {
          violations.add("no reply by the deadline");
        }
      }
    }

    private void read(int maximum) {
      if (!canReachLog()) {
        if (isRunning()) {
          apply(coordinator.markLogUnavailable(clockNanos()));
        }
        return;
      }
      apply(coordinator.applyRead(log.read(coordinator.nextOffset(), maximum), clockNanos()));
    }
  }

  ClaimSimulation(int routerCount) {
    for (int i = 0; i < routerCount; i++) {
      routers.add(new RouterProcess(i));
    }
    for (int key = 0; key < KEY_COUNT; key++) {
      keyTimesMillis[key] = START_MILLIS;
    }
    log.append(ClaimCodec.encodeHeader(new InstanceId("setup"), new Incarnation(0)));
    routers.forEach(router -> router.read(100));
  }

  List<String> violations() {
    return violations;
  }

  int executedKeyCount() {
    return executions.size();
  }

  int outcomeReplyCount() {
    return outcomeReplyCount;
  }

  /**
   * Carries out one encoded step: the lowest 5 bits select the step, the bits from 5 on the router,
   * and the bits from 8 on are the argument of the step.
   */
  void step(int encodedStep) {
    RouterProcess router = routers.get((encodedStep >> 5) % routers.size());
    int argument = encodedStep >> 8;
    switch (encodedStep & 31) {
      case 0, 1, 2, 3, 4 -> begin(router, argument);
      case 5, 6, 7, 8 -> router.read(100);
      case 9 -> router.read(1);
      case 10, 11, 12, 13 -> finishAppend(router, argument);
      case 14, 15, 16 -> send(router);
      case 17, 18 -> respond(router, argument);
      case 19, 20 -> advance((argument % 50 + 1) * NANOS_PER_MILLI);
      case 21 -> advance((argument % 4_000 + 1) * NANOS_PER_MILLI);
      case 22 -> advance(argument % 8 == 0 ? 25 * 60_000 * NANOS_PER_MILLI : 700 * NANOS_PER_MILLI);
      case 23 -> crash(router, argument);
      case 24 -> pause(router, argument);
      case 25 -> logOutage = argument % 8 == 0;
      case 26 -> router.disconnected = argument % 6 == 0;
      case 27 -> truncate(argument);
      case 28 -> applyLateAppend();
      case 29 -> delayRead(router);
      case 30 -> cancel(router, argument);
      default -> replaceKey(argument);
    }
  }

  /** Ends all faults and advances the time until every call must have received a reply. */
  void endFaults() {
    logOutage = false;
    for (RouterProcess router : routers) {
      router.disconnected = false;
      router.pausedUntilNanos = 0;
    }
    for (int i = 0; i < 8; i++) {
      for (RouterProcess router : routers) {
        while (!router.appends.isEmpty()) {
          finishAppend(router, 0);
        }
        router.read(100);
        send(router);
        respond(router, 0);
      }
      advance(4_000 * NANOS_PER_MILLI);
    }
  }

  private void begin(RouterProcess router, int argument) {
    if (!router.isRunning()) {
      return;
    }
    int index = argument % KEY_COUNT;
    long id = nextCallId++;
    Digest256 key = new Digest256(index, keyGenerations[index], 0, 0);
    Digest256 bodyDigest = new Digest256(argument % 7 == 0 ? 1 : 0, 0, 0, 0);
    long deadlineNanos = router.clockNanos() + (argument % 9 + 1) * 2_000 * NANOS_PER_MILLI;
    ClaimCall call = new ClaimCall(id, key, keyTimesMillis[index], bodyDigest, deadlineNanos);
    router.requestsById.put(id, new Request(call));
    router.apply(router.coordinator.begin(call, router.clockNanos()));
  }

  private void finishAppend(RouterProcess router, int argument) {
    if (router.appends.isEmpty() || !router.isRunning()) {
      return;
    }
    ClaimDecision.AppendClaims append = router.appends.remove();
    long id = append.appendId();
    int appendResult = router.canReachLog() ? argument % 8 : 4;
    switch (appendResult) {
      case 4 -> router.apply(router.coordinator.recordAppendFailure(id, router.clockNanos()));
      case 5 -> {
        log.append(append.data());
        router.apply(router.coordinator.recordUncertainAppend(id, router.clockNanos()));
      }
      case 6 -> router.apply(router.coordinator.recordUncertainAppend(id, router.clockNanos()));
      case 7 -> {
        lateAppends.add(append.data());
        router.apply(router.coordinator.recordUncertainAppend(id, router.clockNanos()));
      }
      default -> {
        log.append(append.data());
        router.apply(router.coordinator.recordAppendSuccess(id, router.clockNanos()));
      }
    }
  }

  private void send(RouterProcess router) {
    if (router.grantedCalls.isEmpty() || !router.isRunning()) {
      return;
    }
    long callId = router.grantedCalls.remove();
    if (router.coordinator.tryMarkSent(callId, router.clockNanos())) {
      router.sentCalls.add(callId);
    }
  }

  private void respond(RouterProcess router, int argument) {
    if (router.sentCalls.isEmpty() || !router.isRunning()) {
      return;
    }
    long callId = router.sentCalls.remove();
    Request request = router.requestsById.get(callId);
    switch (argument % 5) {
      case 3 -> {
        execute(request);
        router.apply(router.coordinator.recordResponseLost(callId, router.clockNanos()));
      }
      case 4 ->
          router.apply(
              router.coordinator.recordNotSent(
                  callId, ClaimHarness.NO_SERVER, router.clockNanos()));
      default -> {
        execute(request);
        CallOutcome outcome = results.get(request.call.key());
        router.apply(router.coordinator.recordOutcome(callId, outcome, router.clockNanos()));
      }
    }
  }

  private void execute(Request request) {
    if (executions.merge(request.call.key(), 1, Integer::sum) > 1) {
      violations.add("at-most-once: a key ran a second time");
    }
    request.executed = true;
    if (request.refusal != null) {
      violations.add("truthful-refusal: request ran after " + request.refusal.code());
    }
    int status = 200 + (int) (request.call.id() % 90);
    results.putIfAbsent(request.call.key(), CallOutcome.of(status, "", new byte[0]));
  }

  private void advance(long nanos) {
    nowNanos += nanos;
    log.timeMillis(START_MILLIS + nowNanos / NANOS_PER_MILLI);
    routers.forEach(RouterProcess::tick);
  }

  private void crash(RouterProcess router, int argument) {
    if (argument % 2 == 0) {
      router.appends.forEach(append -> lateAppends.add(append.data()));
    }
    router.restart();
  }

  private void pause(RouterProcess router, int argument) {
    long pauseNanos =
        argument % 12 == 0 ? 3_600_000 * NANOS_PER_MILLI : argument % 1_500 * NANOS_PER_MILLI;
    router.pausedUntilNanos = nowNanos + pauseNanos;
  }

  private void truncate(int argument) {
    if (argument % 16 == 0) {
      log.truncate(argument / 16 % 6);
    } else {
      log.dropEntriesOlderThan(log.timeMillis() - RETENTION_MILLIS);
    }
  }

  private void applyLateAppend() {
    if (!lateAppends.isEmpty() && !logOutage) {
      log.append(lateAppends.remove());
    }
  }

  private void delayRead(RouterProcess router) {
    if (!router.canReachLog()) {
      return;
    }
    if (router.delayedRead == null) {
      router.delayedRead = log.read(router.coordinator.nextOffset(), 100);
      return;
    }
    LogReadResult lateRead = router.delayedRead;
    router.delayedRead = null;
    router.apply(router.coordinator.applyRead(lateRead, router.clockNanos()));
  }

  private void cancel(RouterProcess router, int argument) {
    List<Request> openRequests =
        router.requestsById.values().stream().filter(request -> !request.replied).toList();
    if (openRequests.isEmpty() || !router.isRunning()) {
      return;
    }
    Request request = openRequests.get(argument % openRequests.size());
    request.replied = true;
    router.apply(router.coordinator.cancel(request.call.id(), router.clockNanos()));
  }

  private void replaceKey(int argument) {
    int index = argument % KEY_COUNT;
    keyGenerations[index]++;
    keyTimesMillis[index] = log.timeMillis() + argument % MAX_AHEAD_MILLIS;
  }
}
