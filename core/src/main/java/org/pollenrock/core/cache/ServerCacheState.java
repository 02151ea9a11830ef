package org.pollenrock.core.cache;

import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/** Per-server part of the index; replaced as a whole state when the incarnation changes. */
final class ServerCacheState {
  private final BackendServerId id;
  private final int slot;
  private Incarnation incarnation;
  private EventStreamState eventStream = new EventStreamState();
  private EvictionEstimator estimator = new EvictionEstimator();
  private long latestMissedUseNanos = Long.MIN_VALUE;
  private long eventsCaughtUpNanos = Long.MIN_VALUE;
  private int gapEpoch;
  private int entryCount;

  ServerCacheState(BackendServerId id, int slot, Incarnation incarnation) {
    this.id = id;
    this.slot = slot;
    this.incarnation = incarnation;
  }

  void resetTo(Incarnation newer) {
    incarnation = newer;
    eventStream = new EventStreamState();
    estimator = new EvictionEstimator();
    latestMissedUseNanos = Long.MIN_VALUE;
    eventsCaughtUpNanos = Long.MIN_VALUE;
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

  EventStreamState eventStream() {
    return eventStream;
  }

  EvictionEstimator estimator() {
    return estimator;
  }

  /** Entries that were learned from events before this number of gaps are suspect. */
  int gapEpoch() {
    return gapEpoch;
  }

  void recordGap() {
    gapEpoch++;
  }

  /** A block that was last used at this time is known to have been evicted since. */
  long latestMissedUseNanos() {
    return latestMissedUseNanos;
  }

  void recordMiss(long usedNanos) {
    latestMissedUseNanos = Math.max(latestMissedUseNanos, usedNanos);
  }

  /** Up to this time every event that the server showed has been applied. */
  long eventsCaughtUpNanos() {
    return eventsCaughtUpNanos;
  }

  void markEventsCaughtUp(long nowNanos) {
    eventsCaughtUpNanos = nowNanos;
  }

  int entryCount() {
    return entryCount;
  }

  void addToEntryCount(int delta) {
    entryCount += delta;
  }
}
