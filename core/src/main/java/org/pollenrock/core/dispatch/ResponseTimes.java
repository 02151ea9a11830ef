package org.pollenrock.core.dispatch;

import java.util.OptionalLong;

/**
 * Learns the time within which nearly all requests of a service have their complete responses. Only
 * recent requests count.
 */
final class ResponseTimes {
  /** Share of the requests that take no longer than the upper bound, before its margin. */
  private static final double QUANTILE = 0.99;

  /** Number of requests below which the quantile is not known. */
  private static final int MIN_SAMPLES = 100;

  /** Number of requests after which the earlier ones count half. */
  private static final int MAX_SAMPLES = 2_000;

  /** Margin for servers that become slower. */
  private static final long MARGIN_FACTOR = 2;

  /** Buckets for each doubling of the time. */
  private static final int BUCKETS_PER_DOUBLING = 4;

  /** Upper limit of the first bucket. */
  private static final long FIRST_BUCKET_NANOS = 1_000_000;

  /** Upper limit of the last bucket: 2^20 ms, longer than any request. */
  private static final int DOUBLINGS = 20;

  private final int[] counts = new int[DOUBLINGS * BUCKETS_PER_DOUBLING + 1];
  private int samples;

  /** Records the time from the arrival of a request to the end of its response. */
  void record(long nanos) {
    double doublings = Math.log((double) nanos / FIRST_BUCKET_NANOS) / Math.log(2);
    int bucket =
        (int) Math.clamp(Math.ceil(doublings * BUCKETS_PER_DOUBLING), 0, counts.length - 1);
    counts[bucket]++;
    samples++;
    if (samples >= MAX_SAMPLES) {
      halve();
    }
  }

  /** Returns the upper bound of the time with its margin; empty after too few requests. */
  OptionalLong upperBoundNanos() {
    if (samples < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    int bucket = 0;
    for (int below = counts[0]; below < QUANTILE * samples; below += counts[bucket]) {
      bucket++;
    }
    double doublings = (double) bucket / BUCKETS_PER_DOUBLING;
    return OptionalLong.of((long) (MARGIN_FACTOR * FIRST_BUCKET_NANOS * Math.pow(2, doublings)));
  }

  private void halve() {
    samples = 0;
    for (int bucket = 0; bucket < counts.length; bucket++) {
      counts[bucket] /= 2;
      samples += counts[bucket];
    }
  }
}
