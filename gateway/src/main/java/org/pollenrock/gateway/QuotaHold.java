package org.pollenrock.gateway;

import org.pollenrock.core.limits.QuotaExcess;
import org.pollenrock.core.limits.QuotaRequest;

/** What one request holds of its customer's quota. */
final class QuotaHold implements QuotaRequest {
  /** Request that needs a part of the quota. */
  interface Owner {
    /** Called once if the request is within the quota. */
    void quotaGranted();

    /** Called once if the request exceeds the quota. */
    void quotaExceeded(QuotaExcess excess);
  }

  private enum State {
    WAITING,
    CHARGED,
    ENDED
  }

  private final String customer;
  private final double amount;
  private final Owner owner;
  private State state = State.WAITING;

  QuotaHold(String customer, double amount, Owner owner) {
    this.customer = customer;
    this.amount = amount;
    this.owner = owner;
  }

  String customer() {
    return customer;
  }

  @Override
  public double amount() {
    return amount;
  }

  @Override
  public void quotaGranted() {
    state = State.CHARGED;
    owner.quotaGranted();
  }

  @Override
  public void quotaExceeded(QuotaExcess excess) {
    state = State.ENDED;
    owner.quotaExceeded(excess);
  }

  /** Returns whether the result is still open. */
  boolean isWaiting() {
    return state == State.WAITING;
  }

  /** Ends the hold; returns whether its amount was charged until now. */
  boolean end() {
    boolean charged = state == State.CHARGED;
    state = State.ENDED;
    return charged;
  }
}
