package org.pollenrock.core.fleet;

import java.util.OptionalInt;

/**
 * Pace that a server reports: how long work takes on its machine now.
 *
 * <p>The pace changes many times a second. It is compared with the usual pace of the server, so
 * that a server whose reports are always too high or too low gains and loses nothing by them.
 */
public final class ServerPace {
  /** Half-life of the weight of a report. */
  private static final double HALF_LIFE_NANOS = 200_000_000;

  /** Age at which a report has no weight any more. */
  private static final long MAX_AGE_NANOS = 1_000_000_000L;

  /** Bounds of the pace relative to the usual one. */
  private static final double MAX_RATIO = 4;

  /** Weight of a new report in the usual pace. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private static final double USUAL_PERCENT = 100;

  private double usualPercent = USUAL_PERCENT;
  private double ratio = 1;
  private int percent;
  private long reportedNanos;
  private boolean unreadableSeen;

  /** Creates the state of a server that has not reported its pace. */
  ServerPace() {}

  /** Records the pace of a load report, if it has one. */
  void record(LoadReport report, long nowNanos) {
    if (report.pacePercent().isEmpty()) {
      return;
    }
    percent = report.pacePercent().getAsInt();
    ratio = Math.clamp(percent / usualPercent, 1 / MAX_RATIO, MAX_RATIO);
    usualPercent += SMOOTHING_FACTOR * (percent - usualPercent);
    reportedNanos = nowNanos;
  }

  /**
   * Records that the server has reported a pace that can't be read.
   *
   * @return whether this is the first such report
   */
  public boolean recordUnreadable() {
    boolean first = !unreadableSeen;
    unreadableSeen = true;
    return first;
  }

  /**
   * Returns how long work is expected to take now, relative to the usual time on this server. The
   * value falls back to 1 within some hundred milliseconds after a report.
   *
   * @param nowNanos current time
   * @return the factor; exactly 1 without a recent report
   */
  public double factor(long nowNanos) {
    long ageNanos = nowNanos - reportedNanos;
    if (ratio == 1 || ageNanos > MAX_AGE_NANOS) {
      return 1;
    }
    return 1 + (ratio - 1) * Math.pow(0.5, Math.max(0, ageNanos) / HALF_LIFE_NANOS);
  }

  /**
   * Returns the newest reported pace.
   *
   * @return percent of the usual time; empty if none was reported
   */
  public OptionalInt newestPercent() {
    return percent == 0 ? OptionalInt.empty() : OptionalInt.of(percent);
  }
}
