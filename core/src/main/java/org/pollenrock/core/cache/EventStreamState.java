package org.pollenrock.core.cache;

/**
 * Position in the cache event stream of one incarnation of a server.
 *
 * <p>The first event or digest sets the position. Missing events before the first event are not a
 * gap, because the index contains nothing from them that could be outdated.
 */
public final class EventStreamState {
  private boolean started;
  private long lastAppliedSequence;
  private long gapCount;
  private long ignoredCount;

  /** What the caller does with an event. */
  public enum Action {
    /** Apply the event: it follows the last applied one, or it is the first one. */
    APPLY,
    /**
     * Mark the event-based entries as suspect, then apply the event: earlier events are missing.
     */
    APPLY_AFTER_GAP,
    /** Ignore the event: it repeats or precedes an applied one. */
    IGNORE
  }

  /**
   * Advances the position to a received event unless the event is repeated or reordered.
   *
   * @param sequence sequence number of the event
   * @return what to do with the event
   */
  public Action accept(long sequence) {
    if (started && sequence <= lastAppliedSequence) {
      ignoredCount++;
      return Action.IGNORE;
    }
    boolean gap = started && sequence != lastAppliedSequence + 1;
    started = true;
    lastAppliedSequence = sequence;
    if (gap) {
      gapCount++;
      return Action.APPLY_AFTER_GAP;
    }
    return Action.APPLY;
  }

  /**
   * Advances the position to the last event that a digest of the server's cache includes.
   *
   * @param sequence sequence number of the last event that the digest includes
   * @return false when a later event was already applied, so that the digest is outdated
   */
  public boolean advanceTo(long sequence) {
    if (started && sequence < lastAppliedSequence) {
      return false;
    }
    started = true;
    lastAppliedSequence = sequence;
    return true;
  }

  /**
   * Returns the sequence number of the last event that was applied or included in a digest.
   *
   * @return the sequence number, 0 when none was applied
   */
  public long lastAppliedSequence() {
    return lastAppliedSequence;
  }

  /**
   * Returns the number of gaps in the stream so far.
   *
   * @return number of gaps
   */
  public long gapCount() {
    return gapCount;
  }

  /**
   * Returns the number of repeated and reordered events that were ignored.
   *
   * @return number of events
   */
  public long ignoredCount() {
    return ignoredCount;
  }
}
