package org.pollenrock.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Local view of one router on one lease.
 *
 * <p>The lease is used only while a request that was sent after the last pause, and whose grant was
 * read back, is younger than duration minus margin by the local monotonic clock. The log counts the
 * duration from a later moment, so the local view always ends first.
 */
public final class LeaseHolder {
  private static final int MAX_OPEN_REQUESTS = 16;
  private static final int RENEWALS_PER_DURATION = 3;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long YIELD_NANOS = 3 * LeaseTable.MAX_DURATION_MILLIS * NANOS_PER_MILLI;

  private final String group;
  private final LeaseOwner self;
  private final LeaseSettings settings;
  private final Map<Long, Long> sentNanos = new LinkedHashMap<>();
  private long nextRequestId = 1;
  private long nextAttemptNanos;
  private long validUntilNanos = Long.MIN_VALUE;
  private long lastInputNanos;
  private boolean wanted;
  private boolean stopped;
  private FencingNumber fencingNumber;
  private List<LeaseDecision> decisions = new ArrayList<>();

  /**
   * Creates a holder that does not ask for the lease yet.
   *
   * @param group what the lease is for
   * @param self this router and incarnation
   * @param settings times
   */
  public LeaseHolder(String group, LeaseOwner self, LeaseSettings settings) {
    this.group = group;
    this.self = self;
    this.settings = settings;
  }

  /**
   * Starts to ask for the lease.
   *
   * @param nowNanos current time
   * @return what to do
   * @throws IllegalStateException after {@link #stop}
   */
  public List<LeaseDecision> start(long nowNanos) {
    if (stopped) {
      throw new IllegalStateException("a stopped holder does not ask again");
    }
    wanted = true;
    lastInputNanos = nowNanos;
    nextAttemptNanos = nowNanos + settings.staggerNanos();
    return finish(nowNanos);
  }

  /**
   * Gives the lease up for the rest of the incarnation. A holder that asked again could lose its
   * new grant to its own release when that takes effect late.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<LeaseDecision> stop(long nowNanos) {
    boolean mayHold = wanted;
    wanted = false;
    stopped = true;
    sentNanos.clear();
    lose("stopped");
    if (mayHold) {
      byte[] data = LeaseCodec.encode(new LeaseRecord.Release(group, self));
      decisions.add(new LeaseDecision.AppendLease(data));
    }
    return finish(nowNanos);
  }

  /**
   * Time passed.
   *
   * @param nowNanos current time
   * @return what to do
   */
  public List<LeaseDecision> tick(long nowNanos) {
    notice(nowNanos);
    return finish(nowNanos);
  }

  /**
   * A record of the lease stream was applied to the table.
   *
   * @param applied the record and what it meant
   * @param nowNanos current time
   * @return what to do
   */
  public List<LeaseDecision> processRecord(LeaseTable.AppliedRecord applied, long nowNanos) {
    notice(nowNanos);
    LeaseRecord leaseRecord = applied.leaseRecord();
    if (!wanted || !leaseRecord.group().equals(group)) {
      return finish(nowNanos);
    }
    if (!leaseRecord.owner().equals(self)) {
      otherApplied(applied, nowNanos);
    } else if (leaseRecord instanceof LeaseRecord.Acquire acquire) {
      ownApplied(acquire, applied, nowNanos);
    }
    return finish(nowNanos);
  }

  /**
   * The number to put on an order that is sent now.
   *
   * @param nowNanos current time
   * @return empty when the lease must not be used
   */
  public Optional<FencingNumber> fencingNumber(long nowNanos) {
    boolean paused = nowNanos - lastInputNanos > settings.pauseThresholdNanos();
    return Optional.ofNullable(fencingNumber).filter(held -> !paused && nowNanos < validUntilNanos);
  }

  /** Detects the end of the local validity and pauses of the process. */
  private void notice(long nowNanos) {
    if (nowNanos - lastInputNanos > settings.pauseThresholdNanos()) {
      sentNanos.clear();
      lose("paused");
      nextAttemptNanos = nowNanos;
    }
    lastInputNanos = nowNanos;
    if (nowNanos >= validUntilNanos) {
      lose("expired");
    }
  }

  private void ownApplied(
      LeaseRecord.Acquire acquire, LeaseTable.AppliedRecord applied, long nowNanos) {
    Long sent = sentNanos.remove(acquire.requestId());
    boolean granted =
        applied.result() == LeaseTable.Result.GRANTED
            || applied.result() == LeaseTable.Result.RENEWED;
    if (!granted) {
      lose("refused");
      nextAttemptNanos = nowNanos + waitNanos(applied);
      return;
    }
    if (sent == null) {
      return;
    }
    long until = sent + settings.durationNanos() - settings.marginNanos();
    if (nowNanos >= until) {
      return;
    }
    validUntilNanos = Math.max(validUntilNanos, until);
    nextAttemptNanos = sent + settings.durationNanos() / RENEWALS_PER_DURATION;
    fencingNumber = applied.lease().orElseThrow().fencingNumber();
    decisions.add(new LeaseDecision.Acquired(fencingNumber));
  }

  private void otherApplied(LeaseTable.AppliedRecord applied, long nowNanos) {
    switch (applied.result()) {
      case GRANTED, RENEWED -> {
        lose("granted to another router");
        nextAttemptNanos = nowNanos + waitNanos(applied);
      }
      case RELEASED -> nextAttemptNanos = nowNanos + settings.staggerNanos();
      case UNCERTAIN -> {
        if (precedesSelf(applied.leaseRecord().owner())) {
          nextAttemptNanos = Math.max(nextAttemptNanos, nowNanos + YIELD_NANOS);
        }
      }
      default -> {
        return;
      }
    }
  }

  /**
   * Orders the owners that ask while the history is uncertain. Each request makes the others' wait
   * start again, so without an order routers that ask in turn would wait for ever.
   */
  private boolean precedesSelf(LeaseOwner other) {
    int order = other.router().compareTo(self.router());
    return order < 0 || (order == 0 && self.incarnation().isAfter(other.incarnation()));
  }

  /**
   * Time until the group may be free; an uncertain state is asked again after the longest lease.
   */
  private long waitNanos(LeaseTable.AppliedRecord applied) {
    long remaining =
        applied
            .lease()
            .map(lease -> lease.expiresMillis() - applied.timeMillis())
            .orElse(LeaseTable.MAX_DURATION_MILLIS);
    return Math.max(0, remaining) * NANOS_PER_MILLI + settings.staggerNanos();
  }

  private void lose(String reason) {
    validUntilNanos = Long.MIN_VALUE;
    if (fencingNumber != null) {
      fencingNumber = null;
      decisions.add(new LeaseDecision.Lost(reason));
    }
  }

  private List<LeaseDecision> finish(long nowNanos) {
    if (wanted) {
      if (nowNanos >= nextAttemptNanos) {
        ask(nowNanos);
      }
      long wake =
          fencingNumber == null ? nextAttemptNanos : Math.min(nextAttemptNanos, validUntilNanos);
      decisions.add(new LeaseDecision.WakeAt(wake));
    }
    List<LeaseDecision> result = decisions;
    decisions = new ArrayList<>();
    return result;
  }

  private void ask(long nowNanos) {
    long requestId = nextRequestId++;
    sentNanos.put(requestId, nowNanos);
    if (sentNanos.size() > MAX_OPEN_REQUESTS) {
      sentNanos.remove(sentNanos.keySet().iterator().next());
    }
    byte[] data =
        LeaseCodec.encode(
            new LeaseRecord.Acquire(group, self, requestId, settings.durationMillis()));
    decisions.add(new LeaseDecision.AppendLease(data));
    nextAttemptNanos = nowNanos + settings.retryNanos();
  }
}
