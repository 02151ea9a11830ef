package org.pollenrock.bench.drive;

import org.pollenrock.bench.workload.TimedRequest;

/**
 * What the caller of one request saw.
 *
 * @param request the request
 * @param end how it ended
 * @param code error code of the answer, or empty
 * @param sentNanos when it was due, from the start of the trace
 * @param firstTokenNanos when its first token arrived, or -1
 * @param endNanos when it ended
 * @param cachedTokens prompt tokens that the answer reports as cached, or -1
 */
public record Outcome(
    TimedRequest request,
    End end,
    String code,
    long sentNanos,
    long firstTokenNanos,
    long endNanos,
    int cachedTokens) {

  /** How a request can end for its caller. */
  public enum End {
    /** The whole right answer arrived. */
    COMPLETED,
    /** An error said that the request did not run. */
    REFUSED_NOT_RUN,
    /** An error said that the request ran. */
    RAN,
    /** An error said that the request may have run, or the connection failed. */
    UNKNOWN,
    /** A stream ended early, with an error event or without one. */
    INCOMPLETE,
    /** The answer arrived whole but is not the answer to this request. */
    WRONG
  }

  /**
   * Time to first token.
   *
   * @return nanoseconds from the due time, or -1
   */
  public long ttftNanos() {
    return firstTokenNanos < 0 ? -1 : firstTokenNanos - sentNanos;
  }
}
