package org.pollenrock.core.order;

import org.pollenrock.core.model.Incarnation;

/**
 * Progress of changing one server to a new assignment.
 *
 * <p>A change has two stages: the drain, which is skipped for a server that does not serve, and the
 * load, which begins when the order is sent for the first time.
 */
final class ServerChange {
  private final Assignment assignment;
  private final Incarnation incarnation;
  private boolean ordered;
  private long stageStartNanos;
  private long drainSentNanos;
  private long orderSentNanos;

  ServerChange(Assignment assignment, Incarnation incarnation, long nowNanos) {
    this.assignment = assignment;
    this.incarnation = incarnation;
    this.stageStartNanos = nowNanos;
    this.drainSentNanos = nowNanos;
  }

  Assignment assignment() {
    return assignment;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  boolean isOrdered() {
    return ordered;
  }

  /** Returns when the current stage, drain or load, began. */
  long stageStartNanos() {
    return stageStartNanos;
  }

  long drainSentNanos() {
    return drainSentNanos;
  }

  void recordDrainRepeated(long nowNanos) {
    drainSentNanos = nowNanos;
  }

  long orderSentNanos() {
    return orderSentNanos;
  }

  void recordOrderRepeated(long nowNanos) {
    orderSentNanos = nowNanos;
  }

  /** Records that the order was sent for the first time, which begins the load stage. */
  void recordOrderSent(long nowNanos) {
    ordered = true;
    stageStartNanos = nowNanos;
    orderSentNanos = nowNanos;
  }
}
