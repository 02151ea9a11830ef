package org.pollenrock.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State of one lease as seen by one router, which requests, renews and releases it.
 *
 * <p>The lease may be used only while a granted request is younger than the duration minus the
 * margin by the local monotonic clock. The request must have been sent after the last pause of the
 * process, and its grant must have been read back from the log. The log counts the duration from
 * the time at which it stored the record, which is later than the time of sending, so the lease
 * ends for its holder before it ends in the log.
 */
public final class LeaseHolder {
  private static final int MAX_OPEN_REQUESTS = 16;
  private static final int RENEWALS_PER_DURATION = 3;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Wait before the next request while an owner with precedence requests an uncertain lease. */
  private static final long YIELD_NANOS = 3 * LeaseTable.MAX_DURATION_MILLIS * NANOS_PER_MILLI;

  private final String group;
  private final LeaseOwner self;
  private final LeaseSettings settings;
  private final Map<Long, Long> sentNanosByRequestId = new LinkedHashMap<>();
  private long nextRequestId = 1;
  private long nextRequestNanos;
  private long validUntilNanos = Long.MIN_VALUE;
  private long lastInputNanos;
  private boolean requesting;
  private boolean stopped;
  private FencingNumber fencingNumber;
  private List<LeaseDecision> decisions = new ArrayList<>();

  /**
   * Creates a holder that does not request the lease before {@link #start} is called.
   *
   * @param group name of the group that the lease protects
   * @param self this router and its incarnation
   * @param settings durations and delays of the lease
   */
  public LeaseHolder(String group, LeaseOwner self, LeaseSettings settings) {
    this.group = group;
    this.self = self;
    this.settings = settings;
  }

  /**
   * Starts to request the lease. The first request is sent after the stagger delay.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the actions that the router must perform
   * @throws IllegalStateException after {@link #stop}
   */
  public List<LeaseDecision> start(long nowNanos) {
    if (stopped) {
      throw new IllegalStateException("a stopped lease holder cannot be started again");
    }
    requesting = true;
    lastInputNanos = nowNanos;
    nextRequestNanos = nowNanos + settings.staggerNanos();
    return finishInput(nowNanos);
  }

  /**
   * Releases the lease and stops requesting it for the rest of the incarnation. A holder that
   * requested the lease again could lose the new grant to its own release record if that record
   * reaches the log late.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the actions that the router must perform
   */
  public List<LeaseDecision> stop(long nowNanos) {
    boolean mayHold = requesting;
    requesting = false;
    stopped = true;
    sentNanosByRequestId.clear();
    endLease("stopped");
    if (mayHold) {
      byte[] data = LeaseCodec.encode(new LeaseRecord.Release(group, self));
      decisions.add(new LeaseDecision.AppendLease(data));
    }
    return finishInput(nowNanos);
  }

  /**
   * Detects pauses and the end of the lease, and sends a request that is due.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the actions that the router must perform
   */
  public List<LeaseDecision> tick(long nowNanos) {
    detectPauseAndExpiry(nowNanos);
    return finishInput(nowNanos);
  }

  /**
   * Processes a record of the lease stream after the lease table has applied it.
   *
   * @param applied the record and its result
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the actions that the router must perform
   */
  public List<LeaseDecision> processRecord(LeaseTable.AppliedRecord applied, long nowNanos) {
    detectPauseAndExpiry(nowNanos);
    LeaseRecord leaseRecord = applied.leaseRecord();
    if (!requesting || !leaseRecord.group().equals(group)) {
      return finishInput(nowNanos);
    }
    if (!leaseRecord.owner().equals(self)) {
      processOtherOwner(applied, nowNanos);
    } else if (leaseRecord instanceof LeaseRecord.Acquire acquire) {
      processOwnAcquire(acquire, applied, nowNanos);
    }
    return finishInput(nowNanos);
  }

  /**
   * Returns the fencing number for an order that is sent now.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the fencing number, or empty if the lease must not be used
   */
  public Optional<FencingNumber> fencingNumber(long nowNanos) {
    boolean paused = nowNanos - lastInputNanos > settings.pauseThresholdNanos();
    return Optional.ofNullable(fencingNumber).filter(held -> !paused && nowNanos < validUntilNanos);
  }

  /** Ends the lease after a pause of the process or when its local validity has expired. */
  private void detectPauseAndExpiry(long nowNanos) {
    if (nowNanos - lastInputNanos > settings.pauseThresholdNanos()) {
      sentNanosByRequestId.clear();
      endLease("paused");
      nextRequestNanos = nowNanos;
    }
    lastInputNanos = nowNanos;
    if (nowNanos >= validUntilNanos) {
      endLease("expired");
    }
  }

  /**
   * Starts or extends the use of the lease after a grant or renewal, or ends it after a refusal.
   */
  private void processOwnAcquire(
      LeaseRecord.Acquire acquire, LeaseTable.AppliedRecord applied, long nowNanos) {
    Long sentNanos = sentNanosByRequestId.remove(acquire.requestId());
    boolean granted =
        applied.result() == LeaseTable.RecordResult.GRANTED
            || applied.result() == LeaseTable.RecordResult.RENEWED;
    if (!granted) {
      endLease("refused");
      nextRequestNanos = nowNanos + nanosUntilFree(applied);
      return;
    }
    if (sentNanos == null) {
      return;
    }
    long untilNanos = sentNanos + settings.durationNanos() - settings.marginNanos();
    if (nowNanos >= untilNanos) {
      return;
    }
    validUntilNanos = Math.max(validUntilNanos, untilNanos);
    nextRequestNanos = sentNanos + settings.durationNanos() / RENEWALS_PER_DURATION;
    fencingNumber = applied.lease().orElseThrow().fencingNumber();
    decisions.add(new LeaseDecision.Acquired(fencingNumber));
  }

  /** Schedules the next request according to a record of another owner. */
  private void processOtherOwner(LeaseTable.AppliedRecord applied, long nowNanos) {
    switch (applied.result()) {
      case GRANTED, RENEWED -> {
        endLease("granted to another router");
        nextRequestNanos = nowNanos + nanosUntilFree(applied);
      }
      case RELEASED -> nextRequestNanos = nowNanos + settings.staggerNanos();
      case UNCERTAIN -> {
        if (precedesSelf(applied.leaseRecord().owner())) {
          nextRequestNanos = Math.max(nextRequestNanos, nowNanos + YIELD_NANOS);
        }
      }
      default -> {
        return;
      }
    }
  }

  /**
   * Returns whether another owner has precedence over this one while the state of the lease is
   * uncertain. Each request restarts the waiting time of all other owners, so without an order
   * routers that send requests in turn would wait forever.
   */
  private boolean precedesSelf(LeaseOwner other) {
    int comparison = other.router().compareTo(self.router());
    return comparison < 0 || (comparison == 0 && self.incarnation().isAfter(other.incarnation()));
  }

  /**
   * Returns the time until this router may request the lease again: the remaining time of the
   * lease, or the maximum lease duration if the state is uncertain, plus the stagger delay.
   */
  private long nanosUntilFree(LeaseTable.AppliedRecord applied) {
    long remainingMillis =
        applied
            .lease()
            .map(lease -> lease.expiresMillis() - applied.timeMillis())
            .orElse(LeaseTable.MAX_DURATION_MILLIS);
    return Math.max(0, remainingMillis) * NANOS_PER_MILLI + settings.staggerNanos();
  }

  /** Ends the use of the lease and reports the loss if the lease was held. */
  private void endLease(String reason) {
    validUntilNanos = Long.MIN_VALUE;
    if (fencingNumber != null) {
      fencingNumber = null;
      decisions.add(new LeaseDecision.Lost(reason));
    }
  }

  /** Requests the lease if a request is due and returns the decisions collected for this input. */
  private List<LeaseDecision> finishInput(long nowNanos) {
    if (requesting) {
      if (nowNanos >= nextRequestNanos) {
        requestLease(nowNanos);
      }
      long wakeNanos =
          fencingNumber == null ? nextRequestNanos : Math.min(nextRequestNanos, validUntilNanos);
      decisions.add(new LeaseDecision.WakeAt(wakeNanos));
    }
    List<LeaseDecision> result = decisions;
    decisions = new ArrayList<>();
    return result;
  }

  /** Appends an acquire record and remembers when it was sent. */
  private void requestLease(long nowNanos) {
    long requestId = nextRequestId++;
    sentNanosByRequestId.put(requestId, nowNanos);
    if (sentNanosByRequestId.size() > MAX_OPEN_REQUESTS) {
      sentNanosByRequestId.remove(sentNanosByRequestId.keySet().iterator().next());
    }
    byte[] data =
        LeaseCodec.encode(
            new LeaseRecord.Acquire(group, self, requestId, settings.durationMillis()));
    decisions.add(new LeaseDecision.AppendLease(data));
    nextRequestNanos = nowNanos + settings.retryNanos();
  }
}
