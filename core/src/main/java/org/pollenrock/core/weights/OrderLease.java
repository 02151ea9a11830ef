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
  private static final LeaseStep REST = new LeaseStep.Idle();

  private final String self;
  private final long patienceNanos;
  private final OrderLeaseSettings settings;
  private boolean callOpen;
  private boolean known;
  private Optional<OrderClaim> newest = Optional.empty();
  private long newestOffset = -1;
  private long newestSeenNanos;
  private long end;
  private long readNanos = Long.MIN_VALUE;
  private long workSinceNanos = Long.MIN_VALUE;
  private long nonce;
  private long claimSentNanos;
  private OptionalLong fence = OptionalLong.empty();
  private long validUntilNanos;
  private long ordersFromNanos;

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
    this.self = self;
    this.patienceNanos = patienceNanos;
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
    if (callOpen) {
      return REST;
    }
    if (!known || work && !isLatestClaimant() && nowNanos - readNanos >= settings.renewNanos()) {
      callOpen = true;
      return new LeaseStep.ReadNewestClaim();
    }
    if (!work) {
      return REST;
    }
    if (isLatestClaimant()) {
      boolean renew = nowNanos - claimSentNanos >= settings.renewNanos() || !valid(nowNanos);
      return renew ? claim(nowNanos) : REST;
    }
    boolean waited = nowNanos - workSinceNanos >= patienceNanos;
    boolean silent = nowNanos - newestSeenNanos >= settings.takeoverNanos() + patienceNanos;
    return waited && (newest.isEmpty() || silent) ? claim(nowNanos) : REST;
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
    callOpen = false;
    if (readNanos == Long.MIN_VALUE) {
      ordersFromNanos = nowNanos;
    }
    readNanos = nowNanos;
    end = logEnd;
    long seen = claim.isPresent() ? offset : -1;
    if (!known || seen != newestOffset) {
      newestSeenNanos = nowNanos;
      newestOffset = seen;
      newest = claim;
      if (isLatestClaimant() && !claim.get().handoverComplete()) {
        awaitHandover();
      }
    }
    known = true;
    if (!isLatestClaimant()) {
      fence = OptionalLong.empty();
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
    callOpen = false;
    newest = Optional.of(claim);
    newestOffset = offset;
    newestSeenNanos = nowNanos;
    end = offset + 1;
    fence = OptionalLong.of(offset + 1);
    validUntilNanos = claimSentNanos + settings.validNanos();
  }

  /** A claim was refused because another one came first, or its outcome is unknown. */
  public void recordClaimFailure() {
    callOpen = false;
    known = false;
    fence = OptionalLong.empty();
  }

  /** The log did not answer a read. */
  public void recordReadFailure() {
    callOpen = false;
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
    return valid(nowNanos) && nowNanos - ordersFromNanos >= 0 ? fence : OptionalLong.empty();
  }

  /**
   * Tells whether this instance was the last to claim.
   *
   * @return whether it was
   */
  public boolean isLatestClaimant() {
    return newest.isPresent() && newest.get().holder().equals(self);
  }

  private boolean valid(long nowNanos) {
    return fence.isPresent() && nowNanos < validUntilNanos;
  }

  private LeaseStep claim(long nowNanos) {
    callOpen = true;
    if (!isLatestClaimant() && newest.isPresent()) {
      awaitHandover();
    }
    claimSentNanos = nowNanos;
    boolean settled = nowNanos - ordersFromNanos >= 0;
    return new LeaseStep.AppendClaim(end, new OrderClaim(self, nonce++, settled));
  }

  /** Orders wait until the holder before can't have given one for the handover time. */
  private void awaitHandover() {
    ordersFromNanos = newestSeenNanos + settings.validNanos() + settings.handoverNanos();
  }
}
