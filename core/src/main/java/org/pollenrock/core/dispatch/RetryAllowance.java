package org.pollenrock.core.dispatch;

/**
 * This instance's part of a retry budget that all instances share without talking.
 *
 * <p>Over a sliding window, further sends are at most a share of this instance's requests plus its
 * part of the fixed slack. Summed over all instances, the budget of the service holds. A process
 * that was just started gets none of the slack for one window, since the one before it at the same
 * instance may have used it up.
 */
public final class RetryAllowance {
  /** Slices into which the window is cut. */
  private static final int WINDOW_SLICES = 10;

  /** Slices that are summed; the oldest one has partly left the window and still counts whole. */
  private static final int SUMMED_SLICES = WINDOW_SLICES + 1;

  /**
   * Part of the budget that is used; the rest covers windows that other instances cut otherwise.
   */
  private static final double USABLE_SHARE = 0.85;

  private final RetryAllowanceSettings settings;
  private final long sliceNanos;
  private final int[] requests = new int[SUMMED_SLICES];
  private final int[] resends = new int[SUMMED_SLICES];
  private long newestSlice = Long.MIN_VALUE;
  private final long slackStartNanos;
  private int instanceCount = 1;

  /**
   * Creates an allowance.
   *
   * @param settings the budget of the whole service
   * @param startedNanos start of this process
   */
  public RetryAllowance(RetryAllowanceSettings settings, long startedNanos) {
    this.settings = settings;
    this.sliceNanos = settings.windowNanos() / WINDOW_SLICES;
    this.slackStartNanos = startedNanos + settings.windowNanos();
  }

  /**
   * Sets the number of instances that share the budget.
   *
   * @param count the number; at least 1
   */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
  }

  /**
   * Counts a request.
   *
   * @param nowNanos current time
   */
  public void recordRequest(long nowNanos) {
    requests[advanceTo(nowNanos)]++;
  }

  /**
   * Takes one further send out of the allowance.
   *
   * @param nowNanos current time
   * @return whether the send may go out
   */
  public boolean tryResend(long nowNanos) {
    int slice = advanceTo(nowNanos);
    if (sum(resends) + 1 > limit(nowNanos)) {
      return false;
    }
    resends[slice]++;
    return true;
  }

  /**
   * Further sends that are left.
   *
   * @param nowNanos current time
   * @return the number
   */
  public int remainingResends(long nowNanos) {
    advanceTo(nowNanos);
    return Math.max(0, (int) limit(nowNanos) - sum(resends));
  }

  private double limit(long nowNanos) {
    double slack = nowNanos < slackStartNanos ? 0 : (double) settings.slack() / instanceCount;
    return USABLE_SHARE * (settings.ratio() * sum(requests) + slack);
  }

  private int advanceTo(long nowNanos) {
    long slice = Math.floorDiv(nowNanos, sliceNanos);
    if (newestSlice == Long.MIN_VALUE) {
      newestSlice = slice;
    }
    for (long next = Math.max(newestSlice + 1, slice - SUMMED_SLICES + 1); next <= slice; next++) {
      requests[Math.floorMod(next, SUMMED_SLICES)] = 0;
      resends[Math.floorMod(next, SUMMED_SLICES)] = 0;
    }
    newestSlice = Math.max(newestSlice, slice);
    return Math.floorMod(newestSlice, SUMMED_SLICES);
  }

  private static int sum(int[] counts) {
    int total = 0;
    for (int count : counts) {
      total += count;
    }
    return total;
  }
}
