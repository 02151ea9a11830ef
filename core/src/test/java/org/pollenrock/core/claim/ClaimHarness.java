package org.pollenrock.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.InMemoryLog;

/** Runs the coordinator of one router on a log that routers share, and collects its decisions. */
final class ClaimHarness {
  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long START_MILLIS = 1_800_000_000_000L;
  static final Digest256 KEY_DIGEST = new Digest256(1, 2, 3, 4);
  static final Digest256 BODY_DIGEST = new Digest256(5, 6, 7, 8);
  static final RequestError.Refusal NO_SERVER =
      new RequestError.Refusal(ErrorCode.NO_SERVER, Step.SEND, Optional.empty(), "no server");
  static final long DEADLINE_NANOS = 5_000 * NANOS_PER_MILLI;

  private final InMemoryLog log;
  private final ClaimCoordinator coordinator;
  private final List<ClaimDecision.AppendClaims> appends = new ArrayList<>();
  private final List<Long> grantedCalls = new ArrayList<>();
  private final List<ClaimDecision.ReplyOutcome> outcomeReplies = new ArrayList<>();
  private final List<ClaimDecision.ReplyError> errorReplies = new ArrayList<>();
  private long nowNanos;

  ClaimHarness(InMemoryLog log, String router, long incarnation) {
    this(log, router, incarnation, ClaimSettings.defaults());
  }

  ClaimHarness(InMemoryLog log, String router, long incarnation, ClaimSettings settings) {
    this.log = log;
    coordinator =
        new ClaimCoordinator(new InstanceId(router), new Incarnation(incarnation), settings);
    read();
  }

  /** Returns a log with one entry, so that its newest time is known. */
  static InMemoryLog newLog() {
    InMemoryLog log = new InMemoryLog(START_MILLIS);
    log.append(ClaimCodec.encodeHeader(new InstanceId("setup"), new Incarnation(0)));
    return log;
  }

  ClaimCoordinator coordinator() {
    return coordinator;
  }

  long nowNanos() {
    return nowNanos;
  }

  void begin(long id) {
    begin(id, START_MILLIS, BODY_DIGEST);
  }

  void begin(long id, long keyTimeMillis, Digest256 bodyDigest) {
    ClaimCall call =
        new ClaimCall(id, KEY_DIGEST, keyTimeMillis, bodyDigest, nowNanos + DEADLINE_NANOS);
    apply(coordinator.begin(call, nowNanos));
  }

  void read() {
    apply(coordinator.applyRead(log.read(coordinator.nextOffset(), 100), nowNanos));
  }

  /** Appends every batch that the coordinator decided to append, and confirms it. */
  void appendAll() {
    while (!appends.isEmpty()) {
      ClaimDecision.AppendClaims append = appends.removeFirst();
      log.append(append.data());
      apply(coordinator.recordAppendSuccess(append.appendId(), nowNanos));
    }
  }

  /** Removes and returns the next batch without appending it. */
  ClaimDecision.AppendClaims takeAppend() {
    return appends.removeFirst();
  }

  boolean hasAppend() {
    return !appends.isEmpty();
  }

  /** Advances the clocks of the router and of the log, and runs the timers of the router. */
  void advance(long millis) {
    nowNanos += millis * NANOS_PER_MILLI;
    log.timeMillis(log.timeMillis() + millis);
    apply(coordinator.tick(nowNanos));
  }

  void apply(List<ClaimDecision> decisions) {
    for (ClaimDecision decision : decisions) {
      switch (decision) {
        case ClaimDecision.AppendClaims append -> appends.add(append);
        case ClaimDecision.SendNow send -> grantedCalls.add(send.callId());
        case ClaimDecision.ReplyOutcome reply -> outcomeReplies.add(reply);
        case ClaimDecision.ReplyError reply -> errorReplies.add(reply);
        case ClaimDecision.WakeAt wake -> {
          continue;
        }
      }
    }
  }

  void beginAppendAndRead(long id) {
    begin(id);
    appendAll();
    read();
  }

  List<Long> grantedCalls() {
    return grantedCalls;
  }

  List<ClaimDecision.ReplyOutcome> outcomeReplies() {
    return outcomeReplies;
  }

  Optional<RequestError> findError(long callId) {
    return errorReplies.stream()
        .filter(reply -> reply.callId() == callId)
        .map(ClaimDecision.ReplyError::error)
        .findFirst();
  }
}
