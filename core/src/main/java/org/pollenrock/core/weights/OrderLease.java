package org.pollenrock.core.weights;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Right of one instance at a time to give orders, kept as claims on a log.
 *
 * <p>A claim is appended only while the log ends where the claimant read it, so that one of several
 * claimants wins, and its offset is the fencing number. Claims are renewed while there is work
 * only. Another instance claims after it has watched the newest claim for the takeover time without
 * a renewal, and gives its first order after the handover time, counted from the end of the last
 * holder's validity.
 */
public final class OrderLease {
  private static final LeaseStep IDLE = new LeaseStep.Idle();

  private final String ownName;
  private final long claimDelayNanos;
  private final OrderLeaseSettings settings;
  private boolean callPending;
  private boolean newestClaimKnown;
  private Optional<OrderClaim> newestClaim = Optional.empty();
  private long newestClaimOffset = -1;
  private long newestClaimSeenNanos;
  private long knownLogEnd;
  private long lastReadNanos = Long.MIN_VALUE;
  private long workSinceNanos = Long.MIN_VALUE;
  private long nonce;
  private long claimSentNanos;
  private OptionalLong fencingNumber = OptionalLong.empty();
  private long validUntilNanos;
  private long ordersAllowedFromNanos;

  /**
   * Creates a lease that is not held.
   *
   * @param self name of this instance's machine
   * @param patienceNanos time that this instance waits longer than others before it claims, so that
   *     seldom two claim at once
   * @param nonceSeed first nonce; differs between incarnations
   * @param settings times
   */
  public OrderLease(String self, long patienceNanos, long nonceSeed, OrderLeaseSettings settings) {
    this.ownName = self;
    this.claimDelayNanos = patienceNanos;
    this.nonce = nonceSeed;
    this.settings = settings;
  }

  /**
   * Decides what to do next; call again after each answer and now and then.
   *
   * @param work whether there are orders to give
   * @param nowNanos current time
   * @return the step; a read or a claim must be answered by one of the other methods
   */
  public LeaseStep nextStep(boolean work, long nowNanos) {
    if (!work) {
      workSinceNanos = Long.MIN_VALUE;
    } else if (workSinceNanos == Long.MIN_VALUE) {
      workSinceNanos = nowNanos;
    }
    if (callPending) {
      return IDLE;
    }
    if (!newestClaimKnown
        || work && !isLatestClaimant() && nowNanos - lastReadNanos >= settings.renewNanos()) {
      callPending = true;
      return new LeaseStep.ReadNewestClaim();
    }
    if (!work) {
      return IDLE;
    }
    if (isLatestClaimant()) {
      boolean renew = nowNanos - claimSentNanos >= settings.renewNanos() || !isValid(nowNanos);
      return renew ? appendClaim(nowNanos) : IDLE;
    }
    boolean waited = nowNanos - workSinceNanos >= claimDelayNanos;
    boolean silent = nowNanos - newestClaimSeenNanos >= settings.takeoverNanos() + claimDelayNanos;
    return waited && (newestClaim.isEmpty() || silent) ? appendClaim(nowNanos) : IDLE;
  }

  /**
   * The newest claim was read.
   *
   * @param claim the claim; empty when there is none
   * @param offset its offset
   * @param logEnd end of the log
   * @param nowNanos current time
   */
  public void recordNewestClaim(
      Optional<OrderClaim> claim, long offset, long logEnd, long nowNanos) {
    callPending = false;
    if (lastReadNanos == Long.MIN_VALUE) {
      ordersAllowedFromNanos = nowNanos;
    }
    lastReadNanos = nowNanos;
    knownLogEnd = logEnd;
    long seen = claim.isPresent() ? offset : -1;
    if (!newestClaimKnown || seen != newestClaimOffset) {
      newestClaimSeenNanos = nowNanos;
      newestClaimOffset = seen;
      newestClaim = claim;
      if (isLatestClaimant() && !claim.get().handoverComplete()) {
        delayOrdersForHandover();
      }
    }
    newestClaimKnown = true;
    if (!isLatestClaimant()) {
      fencingNumber = OptionalLong.empty();
    }
  }

  /**
   * A claim was accepted.
   *
   * @param claim the claim
   * @param offset its offset
   * @param nowNanos current time
   */
  public void recordClaimAccepted(OrderClaim claim, long offset, long nowNanos) {
    callPending = false;
    newestClaim = Optional.of(claim);
    newestClaimOffset = offset;
    newestClaimSeenNanos = nowNanos;
    knownLogEnd = offset + 1;
    fencingNumber = OptionalLong.of(offset + 1);
    validUntilNanos = claimSentNanos + settings.validNanos();
  }

  /** A claim was refused because another one came first, or its outcome is unknown. */
  public void recordClaimFailure() {
    callPending = false;
    newestClaimKnown = false;
    fencingNumber = OptionalLong.empty();
  }

  /** The log did not answer a read. */
  public void recordReadFailure() {
    callPending = false;
  }

  /** Time may have passed unnoticed, so the lease must be renewed before the next order. */
  public void requireRenewal() {
    validUntilNanos = claimSentNanos;
  }

  /**
   * Number to put on orders.
   *
   * @param nowNanos current time
   * @return the number; empty while no order may be given
   */
  public OptionalLong fencingNumber(long nowNanos) {
    return isValid(nowNanos) && nowNanos - ordersAllowedFromNanos >= 0
        ? fencingNumber
        : OptionalLong.empty();
  }

  /**
   * Tells whether this instance was the last to claim.
   *
   * @return whether it was
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
    boolean settled = nowNanos - ordersAllowedFromNanos >= 0;
    return new LeaseStep.AppendClaim(knownLogEnd, new OrderClaim(ownName, nonce++, settled));
  }

  /** Orders wait until the holder before can't have given one for the handover time. */
  private void delayOrdersForHandover() {
    ordersAllowedFromNanos =
        newestClaimSeenNanos + settings.validNanos() + settings.handoverNanos();
  }
}
