package org.pollenrock.core.weights;

import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.store.StorePosition;

/**
 * Lease that gives one instance at a time the right to send load orders. It is held by claims on a
 * log.
 *
 * <p>A claim is appended only if the end of the log has not moved since the claimant read it, so
 * only one of several claimants succeeds. The position of the claim makes the fencing number.
 * Claims are renewed only while there are orders to send. Another instance claims when it has seen
 * no renewal of the newest claim for the takeover time. It sends its first order after the handover
 * time, which starts when the validity of the last holder's claim ends. The candidates read the
 * last claim of a rollout, so that both times have passed if its holder is gone when the next one
 * starts.
 *
 * <p>When the log has come back from an older copy, the newest claim may be lost, and with it the
 * knowledge who holds the lease. The log raises its era then. A claim of an earlier era shows no
 * holder: the lease is claimed anew, and orders are sent only after the handover time.
 */
public final class OrderLease {
  private static final LeaseStep IDLE = new LeaseStep.Idle();

  /**
   * Interval at which an instance that is not a candidate reads the newest claim, as a multiple of
   * the renewal interval. Such instances take over if all candidates are cut off from the log.
   */
  private static final int STANDBY_READ_FACTOR = 10;

  /** Share of the renewal interval that passes after the first failed call before the next one. */
  private static final int FIRST_PAUSE_DIVISOR = 4;

  /** Highest era in which a log without claims can't have lost any. */
  private static final long FIRST_ERA = 1;

  private final String ownName;
  private final long claimDelayNanos;
  private final OrderLeaseSettings settings;
  private boolean candidate = true;
  private boolean callPending;
  private boolean newestClaimKnown;
  private Optional<OrderClaim> newestClaim = Optional.empty();
  private long newestClaimOffset = -1;
  private long newestClaimSeenNanos;
  private long knownLogEnd;
  private long lastReadNanos = Long.MIN_VALUE;
  private long readSentNanos;
  private long readPauseNanos;
  private long claimPauseNanos;
  private long workSinceNanos = Long.MIN_VALUE;
  private long workEndNanos;
  private boolean lastClaimUnread;
  private long nonce;
  private long claimSentNanos;
  private boolean claimOutdated;
  private long era;
  private boolean eraKnown;
  private OptionalLong fencingNumber = OptionalLong.empty();
  private long validUntilNanos;
  private long ordersAllowedFromNanos;

  /**
   * Creates a lease that is not held.
   *
   * @param ownName name of the machine that this instance runs on
   * @param claimDelayNanos additional time that this instance waits before it claims, so that two
   *     instances rarely claim at the same time
   * @param nonceSeed first nonce; differs between incarnations
   * @param settings durations of the lease
   */
  public OrderLease(
      String ownName, long claimDelayNanos, long nonceSeed, OrderLeaseSettings settings) {
    this.ownName = ownName;
    this.claimDelayNanos = claimDelayNanos;
    this.nonce = nonceSeed;
    this.settings = settings;
  }

  /**
   * Returns the next step. Has to be called after every result of a step, and periodically.
   *
   * @param hasWork whether there are orders to send
   * @param nowNanos current time
   * @return the step; the result of a read or a claim has to be recorded by one of the other
   *     methods
   */
  public LeaseStep nextStep(boolean hasWork, long nowNanos) {
    recordWork(hasWork, nowNanos);
    if (callPending) {
      return IDLE;
    }
    if (!newestClaimKnown || !isLatestClaimant() && isReadDue(hasWork, nowNanos)) {
      if (nowNanos - readSentNanos < readPauseNanos) {
        return IDLE;
      }
      callPending = true;
      readSentNanos = nowNanos;
      lastClaimUnread = false;
      return new LeaseStep.ReadNewestClaim();
    }
    if (!hasWork || nowNanos - claimSentNanos < claimPauseNanos) {
      return IDLE;
    }
    if (isLatestClaimant()) {
      boolean mustRenew = nowNanos - claimSentNanos >= settings.renewNanos() || !isValid(nowNanos);
      return mustRenew ? appendClaim(nowNanos) : IDLE;
    }
    // The holder of the last rollout comes first.
    long startDelayNanos = claimDelayNanos + (newestClaim.isPresent() ? settings.renewNanos() : 0);
    boolean delayElapsed = nowNanos - workSinceNanos >= startDelayNanos;
    boolean holderSilent =
        nowNanos - newestClaimSeenNanos >= settings.takeoverNanos() + claimDelayNanos;
    // Without a recent read, a renewal may have been missed, and the claim would only be refused.
    boolean readRecently = nowNanos - lastReadNanos < settings.renewNanos();
    return delayElapsed && readRecently && (candidate && newestClaim.isEmpty() || holderSilent)
        ? appendClaim(nowNanos)
        : IDLE;
  }

  /**
   * Sets whether this instance is one of the few that take over quickly from a silent holder. The
   * other instances read the newest claim less often, so that the load on the log does not grow
   * with their number. Which instances are candidates has no influence on the safety of the lease.
   *
   * @param newCandidate whether this instance is a candidate
   */
  public void setCandidate(boolean newCandidate) {
    candidate = newCandidate;
  }

  private void recordWork(boolean hasWork, long nowNanos) {
    if (!hasWork && workSinceNanos != Long.MIN_VALUE) {
      workSinceNanos = Long.MIN_VALUE;
      workEndNanos = nowNanos;
      lastClaimUnread = candidate;
    } else if (hasWork && workSinceNanos == Long.MIN_VALUE) {
      workSinceNanos = nowNanos;
    }
  }

  private boolean isReadDue(boolean hasWork, long nowNanos) {
    return hasWork
        ? nowNanos - lastReadNanos >= readIntervalNanos()
        : lastClaimUnread && nowNanos - workEndNanos >= settings.validNanos();
  }

  private long readIntervalNanos() {
    return candidate ? settings.renewNanos() : STANDBY_READ_FACTOR * settings.renewNanos();
  }

  /**
   * Records the era of the log. Has to be called before the result of the call that has shown it;
   * results of calls that were sent in an earlier era have to be recorded as failures.
   *
   * @param newEra the era; ignored unless it is higher than the known one
   */
  public void recordEra(long newEra) {
    if (eraKnown && newEra <= era) {
      return;
    }
    if (eraKnown) {
      newestClaimKnown = false;
      fencingNumber = OptionalLong.empty();
      readPauseNanos = 0;
    }
    era = newEra;
    eraKnown = true;
  }

  /**
   * Records the result of reading the newest claim.
   *
   * @param claim the claim; empty if there is none
   * @param offset offset of the claim
   * @param logEnd end of the log
   * @param nowNanos current time
   */
  public void recordNewestClaim(
      Optional<OrderClaim> claim, long offset, long logEnd, long nowNanos) {
    callPending = false;
    readPauseNanos = 0;
    if (lastReadNanos == Long.MIN_VALUE) {
      ordersAllowedFromNanos = nowNanos;
    }
    lastReadNanos = nowNanos;
    knownLogEnd = logEnd;
    long claimOffset = claim.isPresent() ? offset : -1;
    if (!newestClaimKnown || claimOffset != newestClaimOffset) {
      newestClaimSeenNanos = nowNanos;
      newestClaimOffset = claimOffset;
      newestClaim = claim;
      boolean holderUnknown = claim.map(newest -> newest.era() < era).orElse(era > FIRST_ERA);
      if (holderUnknown || isLatestClaimant() && !claim.get().handoverComplete()) {
        delayOrdersForHandover();
      }
    }
    newestClaimKnown = true;
    if (!isLatestClaimant()) {
      fencingNumber = OptionalLong.empty();
    }
  }

  /**
   * Records that a claim was appended.
   *
   * @param claim the claim
   * @param offset offset of the claim
   * @param nowNanos current time
   */
  public void recordClaimAccepted(OrderClaim claim, long offset, long nowNanos) {
    if (claim.era() != era) {
      recordClaimFailure();
      return;
    }
    callPending = false;
    claimPauseNanos = 0;
    newestClaim = Optional.of(claim);
    newestClaimOffset = offset;
    newestClaimSeenNanos = nowNanos;
    knownLogEnd = offset + 1;
    fencingNumber = OptionalLong.of(new StorePosition(era, offset).fencingNumber());
    validUntilNanos = claimOutdated ? claimSentNanos : claimSentNanos + settings.validNanos();
  }

  /**
   * Records that a claim was refused because another record came first, or that its outcome is
   * unknown. The pause before the next claim grows until one is accepted.
   */
  public void recordClaimFailure() {
    callPending = false;
    claimPauseNanos = longerPause(claimPauseNanos);
    newestClaimKnown = false;
    fencingNumber = OptionalLong.empty();
  }

  /**
   * Records that the log did not respond to a read. The pause before the next read grows until one
   * succeeds, but no longer than the interval of reads or the takeover time, so that this instance
   * takes over in time once the log responds.
   */
  public void recordReadFailure() {
    callPending = false;
    readPauseNanos = longerPause(readPauseNanos);
  }

  /** Returns the pause after another failed call; pauses count from the start of the call. */
  private long longerPause(long pauseNanos) {
    return Math.clamp(
        2 * pauseNanos,
        settings.renewNanos() / FIRST_PAUSE_DIVISOR,
        Math.max(settings.takeoverNanos(), candidate ? 0 : readIntervalNanos()));
  }

  /**
   * Requires a renewal before the next order, because the clock may have stood still. A claim whose
   * result is not known yet does not count as one.
   */
  public void requireRenewal() {
    validUntilNanos = claimSentNanos;
    claimOutdated = true;
  }

  /**
   * Returns the fencing number for orders.
   *
   * @param nowNanos current time
   * @return the fencing number; empty while no orders may be sent
   */
  public OptionalLong fencingNumber(long nowNanos) {
    return isValid(nowNanos) && nowNanos - ordersAllowedFromNanos >= 0
        ? fencingNumber
        : OptionalLong.empty();
  }

  /**
   * Returns whether the newest known claim is one of this instance.
   *
   * @return whether this instance was the last to claim
   */
  public boolean isLatestClaimant() {
    return newestClaim.isPresent() && newestClaim.get().holder().equals(ownName);
  }

  private boolean isValid(long nowNanos) {
    return fencingNumber.isPresent() && nowNanos < validUntilNanos;
  }

  private LeaseStep appendClaim(long nowNanos) {
    callPending = true;
    if (!isLatestClaimant() && newestClaim.isPresent()) {
      delayOrdersForHandover();
    }
    claimSentNanos = nowNanos;
    claimOutdated = false;
    boolean handoverComplete = nowNanos - ordersAllowedFromNanos >= 0;
    return new LeaseStep.AppendClaim(
        knownLogEnd, new OrderClaim(ownName, nonce++, handoverComplete, era));
  }

  /**
   * Allows orders only after the handover time since the last possible order of the previous
   * holder.
   */
  private void delayOrdersForHandover() {
    ordersAllowedFromNanos =
        newestClaimSeenNanos + settings.validNanos() + settings.handoverNanos();
  }
}
