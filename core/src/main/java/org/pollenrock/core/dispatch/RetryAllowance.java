package org.pollenrock.core.dispatch;

/**
 * This instance's share of a service's retry budget. Instances divide the budget without
 * communicating.
 *
 * <p>Within a sliding window, resends are limited to a ratio of this instance's requests plus its
 * share of the fixed slack. The sum over all instances therefore stays within the budget of the
 * service. A newly started process gets no slack for one window, because the previous process of
 * the same instance may have used it up.
 */
public final class RetryAllowance {
  /** Number of slices in a window. */
  private static final int WINDOW_SLICES = 10;

  /**
   * Number of slices that are summed. The oldest one is partly outside the window but counts
   * completely.
   */
  private static final int SUMMED_SLICES = WINDOW_SLICES + 1;

  /**
   * Share of the budget that is used. The rest is a margin for windows that start at other times on
   * other instances.
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
   * @param settings retry budget of the whole service
   * @param processStartNanos start time of this process
   */
  public RetryAllowance(RetryAllowanceSettings settings, long processStartNanos) {
    this.settings = settings;
    this.sliceNanos = settings.windowNanos() / WINDOW_SLICES;
    this.slackStartNanos = processStartNanos + settings.windowNanos();
  }

  /**
   * Sets the number of instances that share the budget.
   *
   * @param count number of instances; at least 1
   */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
  }

  /**
   * Records a request.
   *
   * @param nowNanos current time
   */
  public void recordRequest(long nowNanos) {
    requests[advanceTo(nowNanos)]++;
  }

  /**
   * Takes one resend from the allowance if there is one left.
   *
   * @param nowNanos current time
   * @return whether the resend is allowed
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
   * Returns the number of resends left.
   *
   * @param nowNanos current time
   * @return the number of resends
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
