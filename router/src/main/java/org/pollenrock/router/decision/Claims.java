package org.pollenrock.router.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.claim.ClaimCall;
import org.pollenrock.core.claim.ClaimCoordinator;
import org.pollenrock.core.claim.ClaimDecision;
import org.pollenrock.core.claim.ClaimSettings;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.record.LogReadResult;

/** Claims of non-idempotent calls over the log; confined to the decision thread. */
public final class Claims {
  private final ClaimCoordinator coordinator;
  private final Appender appender;
  private final LongSupplier nanoClock;
  private final Map<Long, ClaimListener> listeners = new HashMap<>();
  private long wakeNanos = Long.MAX_VALUE;
  private boolean wakes;
  private boolean readable;

  /** Appends to the claim stream. */
  interface Appender {
    void append(long appendId, byte[] data);
  }

  Claims(ClaimCoordinator coordinator, Appender appender, LongSupplier nanoClock) {
    this.coordinator = coordinator;
    this.appender = appender;
    this.nanoClock = nanoClock;
  }

  /** The window must be less than half of the retention, or an old key could run again. */
  static ClaimSettings settings(DecisionState.Parameters parameters) {
    ClaimSettings standard = ClaimSettings.defaults();
    long window =
        Math.min(standard.windowMillis(), Math.max(1, parameters.logRetentionMillis() / 2 - 1));
    return new ClaimSettings(
        window,
        standard.futureToleranceMillis(),
        standard.maxWaitNanos(),
        standard.batchIntervalNanos(),
        standard.retryDelayNanos(),
        standard.logSilenceTimeoutNanos(),
        parameters.claimBytes(),
        standard.maxPendingRecords());
  }

  void begin(ClaimCall call, ClaimListener listener) {
    listeners.put(call.id(), listener);
    follow(coordinator.begin(call, now()));
  }

  /** Whether a granted call may be sent now; true at most once a call. */
  boolean mayBeSent(long callId) {
    return coordinator.tryMarkSent(callId, now());
  }

  void finished(long callId, CallOutcome outcome) {
    follow(coordinator.recordOutcome(callId, outcome, now()));
    listeners.remove(callId);
  }

  void responseLost(long callId) {
    follow(coordinator.recordResponseLost(callId, now()));
    listeners.remove(callId);
  }

  void notSent(long callId, RequestError.Refusal reason) {
    follow(coordinator.recordNotSent(callId, reason, now()));
    listeners.remove(callId);
  }

  void cancelled(long callId) {
    follow(coordinator.cancel(callId, now()));
    listeners.remove(callId);
  }

  /**
   * Applies a read of the claim stream.
   *
   * @param read the answer of the log
   */
  public void logRead(LogReadResult read) {
    readable = true;
    follow(coordinator.applyRead(read, now()));
  }

  /** Takes note that the log cannot be read. */
  public void logUnavailable() {
    readable = false;
    follow(coordinator.markLogUnavailable(now()));
  }

  /**
   * Takes note that an append took effect.
   *
   * @param appendId its number
   */
  public void appended(long appendId) {
    follow(coordinator.recordAppendSuccess(appendId, now()));
  }

  /**
   * Takes note that an append certainly did not take effect.
   *
   * @param appendId its number
   */
  public void appendFailed(long appendId) {
    follow(coordinator.recordAppendFailure(appendId, now()));
  }

  /**
   * Takes note that an append may have taken effect.
   *
   * @param appendId its number
   */
  public void appendUncertain(long appendId) {
    follow(coordinator.recordUncertainAppend(appendId, now()));
  }

  void tick() {
    if (wakes && now() - wakeNanos >= 0) {
      wakes = false;
      follow(coordinator.tick(now()));
    }
  }

  /**
   * Whether the last read of the claim stream was answered.
   *
   * @return false before the first answer
   */
  public boolean readable() {
    return readable;
  }

  private void follow(List<ClaimDecision> decisions) {
    for (ClaimDecision decision : decisions) {
      switch (decision) {
        case ClaimDecision.AppendClaims append -> appender.append(append.appendId(), append.data());
        case ClaimDecision.SendNow send -> {
          ClaimListener listener = listeners.get(send.callId());
          if (listener != null) {
            listener.granted();
          }
        }
        case ClaimDecision.ReplyOutcome reply -> {
          ClaimListener listener = listeners.remove(reply.callId());
          if (listener != null) {
            listener.outcome(reply.outcome());
          }
        }
        case ClaimDecision.ReplyError reply -> {
          ClaimListener listener = listeners.remove(reply.callId());
          if (listener != null) {
            listener.error(reply.error());
          }
        }
        case ClaimDecision.WakeAt(long nanos) -> {
          wakeNanos = nanos;
          wakes = true;
        }
      }
    }
  }

  private long now() {
    return nanoClock.getAsLong();
  }
}
