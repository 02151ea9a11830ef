package org.pollenrock.core.cache;

/**
 * Position in the event stream of one incarnation of a server.
 *
 * <p>The first event that is seen sets the position; events before it are not a gap, because
 * nothing was learned from them.
 */
public final class EventStreamState {
  private boolean started;
  private long lastAppliedSequence;
  private long gapCount;
  private long ignoredCount;

  /** What to do with an event. */
  public enum Action {
    /** Apply it: it is the next one. */
    APPLY,
    /** Mark the event-based knowledge as suspect, then apply it: events before it are missing. */
    APPLY_AFTER_GAP,
    /** Ignore it: it repeats or precedes an applied event. */
    IGNORE
  }

  /**
   * Accepts the next event.
   *
   * @param sequence position of the event
   * @return what to do with it
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
   * Moves the position to the one that a digest of the server's cache covers.
   *
   * @param sequence last event that the digest includes
   * @return false when later events were already applied, so that the digest is outdated
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
   * Last applied position.
   *
   * @return the sequence number, 0 when none was applied
   */
  public long lastAppliedSequence() {
    return lastAppliedSequence;
  }

  /**
   * Gaps seen so far.
   *
   * @return the count
   */
  public long gapCount() {
    return gapCount;
  }

  /**
   * Repeated and reordered events that were ignored.
   *
   * @return the count
   */
  public long ignoredCount() {
    return ignoredCount;
  }
}
