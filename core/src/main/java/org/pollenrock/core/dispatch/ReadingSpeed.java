package org.pollenrock.core.dispatch;

/**
 * Learns how fast the engines of a service work off their backlog, from the time between sending a
 * prompt and the start of its response.
 */
final class ReadingSpeed {
  /** Time per token that is assumed before the first sample; that of a slow engine. */
  private static final double INITIAL_NANOS_PER_TOKEN = 20_000;

  /** Number of tokens for which the initial value counts. */
  private static final double INITIAL_TOKENS = 200_000;

  /** Minimum backlog of a sample; for shorter ones the fixed part of the time dominates. */
  private static final long MIN_SAMPLE_TOKENS = 4_000;

  /** Weight that earlier samples keep with each new one. */
  private static final double RETAINED = 0.97;

  private double tokens = INITIAL_TOKENS;
  private double nanos = INITIAL_TOKENS * INITIAL_NANOS_PER_TOKEN;

  /**
   * Records a response.
   *
   * @param backlogTokens estimated backlog of the engine when the prompt was sent, including the
   *     prompt
   * @param elapsedNanos time from sending the prompt to the start of the response
   */
  void record(long backlogTokens, long elapsedNanos) {
    if (!isMeasurable(backlogTokens)) {
      return;
    }
    tokens = RETAINED * tokens + backlogTokens;
    nanos = RETAINED * nanos + elapsedNanos;
  }

  /** Returns whether a backlog is long enough for its time to tell the speed. */
  static boolean isMeasurable(long backlogTokens) {
    return backlogTokens >= MIN_SAMPLE_TOKENS;
  }

  /**
   * Returns the expected time to work off a backlog.
   *
   * @param backlogTokens the backlog in tokens
   * @return time in nanoseconds
   */
  double nanosFor(double backlogTokens) {
    return backlogTokens * nanos / tokens;
  }
}
