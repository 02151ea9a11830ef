package org.pollenrock.gateway;

/**
 * Times of the event loop that take pauses of the process into account.
 *
 * <p>After a pause, input that arrived meanwhile is processed late, and the silence of others
 * covers a time in which this process could not have heard them.
 */
public interface LoopClock {
  /**
   * Returns the current time, which also advances while the machine is suspended.
   *
   * @return the time in nanoseconds since an arbitrary origin
   */
  long elapsedNanos();

  /**
   * Returns the latest time for which all input that had arrived is known to be processed. Input
   * that is being processed now arrived after it.
   *
   * @return the time in nanoseconds, on the scale of {@link #elapsedNanos}
   */
  long inputProcessedNanos();

  /**
   * Returns the time for which the event loop has run, without the pauses of the process.
   *
   * @return the time since the start in nanoseconds; grows in steps of the interval of the checks
   */
  long runningNanos();
}
