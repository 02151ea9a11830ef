package org.pollenrock.core.cache;

import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/** Per-server part of the index; replaced as a whole state when the incarnation changes. */
final class ServerKnowledge {
  private final BackendServerId id;
  private final int slot;
  private Incarnation incarnation;
  private EventStreamState events = new EventStreamState();
  private EvictionEstimator estimator = new EvictionEstimator();
  private long missedNanos = Long.MIN_VALUE;
  private long followedNanos = Long.MIN_VALUE;
  private int gapEpoch;
  private int entries;

  ServerKnowledge(BackendServerId id, int slot, Incarnation incarnation) {
    this.id = id;
    this.slot = slot;
    this.incarnation = incarnation;
  }

  void restart(Incarnation newer) {
    incarnation = newer;
    events = new EventStreamState();
    estimator = new EvictionEstimator();
    missedNanos = Long.MIN_VALUE;
    followedNanos = Long.MIN_VALUE;
    gapEpoch = 0;
  }

  BackendServerId id() {
    return id;
  }

  int slot() {
    return slot;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  EventStreamState events() {
    return events;
  }

  EvictionEstimator estimator() {
    return estimator;
  }

  /** Entries that were learned from events before this number of gaps are suspect. */
  int gapEpoch() {
    return gapEpoch;
  }

  void gap() {
    gapEpoch++;
  }

  /** A block that was last used at this time is known to have been evicted since. */
  long missedNanos() {
    return missedNanos;
  }

  void missed(long usedNanos) {
    missedNanos = Math.max(missedNanos, usedNanos);
  }

  /** Up to this time every event that the server showed has been applied. */
  long followedNanos() {
    return followedNanos;
  }

  void followed(long nowNanos) {
    followedNanos = nowNanos;
  }

  int entries() {
    return entries;
  }

  void addEntries(int delta) {
    entries += delta;
  }
}
