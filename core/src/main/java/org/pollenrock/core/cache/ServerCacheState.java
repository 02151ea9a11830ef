package org.pollenrock.core.cache;

import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/**
 * State of the index for one server.
 *
 * <p>The state belongs to one incarnation of the server and is reset when a newer incarnation is
 * seen. Suspect entries are entries whose confidence is lowered.
 */
final class ServerCacheState {
  private final BackendServerId id;
  private final int slot;
  private Incarnation incarnation;
  private EventStreamState eventStream = new EventStreamState();
  private EvictionEstimator evictionEstimator = new EvictionEstimator();
  private long latestMissedUseNanos = Long.MIN_VALUE;
  private long eventsCaughtUpNanos = Long.MIN_VALUE;
  private int gapEpoch;
  private int entryCount;

  ServerCacheState(BackendServerId id, int slot, Incarnation incarnation) {
    this.id = id;
    this.slot = slot;
    this.incarnation = incarnation;
  }

  /** Resets the state for a newer incarnation. The caller removes the entries of the older one. */
  void resetTo(Incarnation newIncarnation) {
    incarnation = newIncarnation;
    eventStream = new EventStreamState();
    evictionEstimator = new EvictionEstimator();
    latestMissedUseNanos = Long.MIN_VALUE;
    eventsCaughtUpNanos = Long.MIN_VALUE;
    gapEpoch = 0;
  }

  BackendServerId id() {
    return id;
  }

  /** Returns the number of the server within the index. */
  int slot() {
    return slot;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  EventStreamState eventStream() {
    return eventStream;
  }

  EvictionEstimator evictionEstimator() {
    return evictionEstimator;
  }

  /**
   * Returns the number of gaps in the event stream so far. An entry that was learned from an event
   * at a lower number of gaps is suspect.
   */
  int gapEpoch() {
    return gapEpoch;
  }

  /** Records a gap in the event stream. */
  void recordGap() {
    gapEpoch++;
  }

  /**
   * Returns the latest time of last use of a block that was later found to be evicted. Blocks that
   * were last used at this time or earlier are suspect.
   */
  long latestMissedUseNanos() {
    return latestMissedUseNanos;
  }

  /**
   * Records that a block was expected in the cache but was not cached.
   *
   * @param usedNanos time of the last use of the block
   */
  void recordMiss(long usedNanos) {
    latestMissedUseNanos = Math.max(latestMissedUseNanos, usedNanos);
  }

  /** Returns the last time at which every available event of the server had been applied. */
  long eventsCaughtUpNanos() {
    return eventsCaughtUpNanos;
  }

  /** Records that every available event of the server has been applied. */
  void markEventsCaughtUp(long nowNanos) {
    eventsCaughtUpNanos = nowNanos;
  }

  /** Returns the number of entries of the server in the index. */
  int entryCount() {
    return entryCount;
  }

  /** Changes the number of entries by {@code delta}. */
  void addToEntryCount(int delta) {
    entryCount += delta;
  }
}
