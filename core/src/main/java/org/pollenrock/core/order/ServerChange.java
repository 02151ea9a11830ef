package org.pollenrock.core.order;

import org.pollenrock.core.model.Incarnation;

/** Progress of changing one server. */
final class ServerChange {
  private final Assignment assignment;
  private final Incarnation incarnation;
  private boolean ordered;
  private long sinceNanos;
  private long drainSentNanos;
  private long orderSentNanos;

  ServerChange(Assignment assignment, Incarnation incarnation, long nowNanos) {
    this.assignment = assignment;
    this.incarnation = incarnation;
    this.sinceNanos = nowNanos;
    this.drainSentNanos = nowNanos;
  }

  Assignment assignment() {
    return assignment;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  boolean ordered() {
    return ordered;
  }

  long sinceNanos() {
    return sinceNanos;
  }

  long drainSentNanos() {
    return drainSentNanos;
  }

  void drainRepeated(long nowNanos) {
    drainSentNanos = nowNanos;
  }

  long orderSentNanos() {
    return orderSentNanos;
  }

  void orderRepeated(long nowNanos) {
    orderSentNanos = nowNanos;
  }

  void order(long nowNanos) {
    ordered = true;
    sinceNanos = nowNanos;
    orderSentNanos = nowNanos;
  }
}
