package org.pollenrock.gateway;

/**
 * Detects suspensions of the machine, during which the wall clock advances and the monotonic clock
 * stands still.
 *
 * <p>A step of the wall clock ahead looks the same and counts as a suspension, which is the safe
 * assumption for whatever expires.
 */
final class SuspensionDetector {
  /** Time by which the wall clock may advance more than the monotonic clock between two calls. */
  private static final long TOLERANCE_MILLIS = 200;

  private boolean started;
  private long wallAheadMillis;

  /**
   * Returns the duration of the suspension since the last call.
   *
   * @param monotonicNanos monotonic time in nanoseconds
   * @param wallMillis time of the wall clock in milliseconds
   * @return the duration in nanoseconds; 0 if there was none
   */
  long detect(long monotonicNanos, long wallMillis) {
    long aheadMillis = wallMillis - monotonicNanos / 1_000_000;
    long jumpMillis = started ? aheadMillis - wallAheadMillis : 0;
    started = true;
    wallAheadMillis = aheadMillis;
    return jumpMillis > TOLERANCE_MILLIS ? jumpMillis * 1_000_000 : 0;
  }
}
