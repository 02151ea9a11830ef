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

/** One router's coordinator with its decisions sorted by kind, on a log that tests share. */
final class ClaimHarness {
  static final long MILLI = 1_000_000L;
  static final long START_MILLIS = 1_800_000_000_000L;
  static final Digest256 KEY = new Digest256(1, 2, 3, 4);
  static final Digest256 BODY = new Digest256(5, 6, 7, 8);
  static final RequestError.Refusal NO_SERVER =
      new RequestError.Refusal(ErrorCode.NO_SERVER, Step.SEND, Optional.empty(), "no server");
  static final long DEADLINE = 5_000 * MILLI;

  private final InMemoryLog log;
  private final ClaimCoordinator coordinator;
  private final List<ClaimDecision.AppendClaims> appends = new ArrayList<>();
  private final List<Long> granted = new ArrayList<>();
  private final List<ClaimDecision.ReplyOutcome> outcomes = new ArrayList<>();
  private final List<ClaimDecision.ReplyError> errors = new ArrayList<>();
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

  static InMemoryLog newLog() {
    InMemoryLog log = new InMemoryLog(START_MILLIS);
    log.append(ClaimCodec.encodeHeader(new InstanceId("setup"), new Incarnation(0)));
    return log;
  }

  ClaimCoordinator coordinator() {
    return coordinator;
  }

  long now() {
    return nowNanos;
  }

  void begin(long id) {
    begin(id, START_MILLIS, BODY);
  }

  void begin(long id, long keyTimeMillis, Digest256 body) {
    ClaimCall call = new ClaimCall(id, KEY, keyTimeMillis, body, nowNanos + DEADLINE);
    accept(coordinator.begin(call, nowNanos));
  }

  void read() {
    accept(coordinator.applyRead(log.read(coordinator.nextOffset(), 100), nowNanos));
  }

  /** Appends all that is due and confirms it. */
  void append() {
    while (!appends.isEmpty()) {
      ClaimDecision.AppendClaims append = appends.removeFirst();
      log.append(append.data());
      accept(coordinator.recordAppendSuccess(append.appendId(), nowNanos));
    }
  }

  ClaimDecision.AppendClaims takeAppend() {
    return appends.removeFirst();
  }

  boolean hasAppend() {
    return !appends.isEmpty();
  }

  void advance(long millis) {
    nowNanos += millis * MILLI;
    log.timeMillis(log.timeMillis() + millis);
    accept(coordinator.tick(nowNanos));
  }

  void accept(List<ClaimDecision> decisions) {
    for (ClaimDecision decision : decisions) {
      switch (decision) {
        case ClaimDecision.AppendClaims append -> appends.add(append);
        case ClaimDecision.SendNow send -> granted.add(send.callId());
        case ClaimDecision.ReplyOutcome reply -> outcomes.add(reply);
        case ClaimDecision.ReplyError reply -> errors.add(reply);
        case ClaimDecision.WakeAt wake -> {
          continue;
        }
      }
    }
  }

  void claimAndRead(long id) {
    begin(id);
    append();
    read();
  }

  List<Long> granted() {
    return granted;
  }

  List<ClaimDecision.ReplyOutcome> outcomes() {
    return outcomes;
  }

  Optional<RequestError> error(long callId) {
    return errors.stream()
        .filter(reply -> reply.callId() == callId)
        .map(ClaimDecision.ReplyError::error)
        .findFirst();
  }
}
