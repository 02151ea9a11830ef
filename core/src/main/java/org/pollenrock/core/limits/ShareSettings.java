package org.pollenrock.core.limits;

/**
 * Time bounds and sizes of share loans, equal on all routers.
 *
 * @param loanDurationNanos how long a loan lasts unless renewed
 * @param marginNanos how much longer the lender waits by its own clock, for clocks of unequal pace
 * @param replyTimeoutNanos how long a borrower waits for a reply before it asks again
 * @param minRequestIntervalNanos shortest time between two requests for loans of one limit, which
 *     bounds the messages of a router whose peers have nothing to lend
 * @param maxLendPercent largest part of its unused share that a lender gives to one request, 1 to
 *     100
 * @param maxLoans most loans given, and most loans taken, by one router
 */
public record ShareSettings(
    long loanDurationNanos,
    long marginNanos,
    long replyTimeoutNanos,
    long minRequestIntervalNanos,
    int maxLendPercent,
    int maxLoans) {
  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public ShareSettings {
    if (loanDurationNanos <= 0 || marginNanos < 0) {
      throw new IllegalArgumentException(
          "loan duration " + loanDurationNanos + " ns, margin " + marginNanos + " ns");
    }
    if (replyTimeoutNanos <= 0 || replyTimeoutNanos >= loanDurationNanos / 2) {
      throw new IllegalArgumentException("a reply must time out within half a loan duration");
    }
    if (minRequestIntervalNanos < 0) {
      throw new IllegalArgumentException(
          "minRequestIntervalNanos must not be negative: " + minRequestIntervalNanos);
    }
    if (maxLendPercent < 1 || maxLendPercent > 100) {
      throw new IllegalArgumentException("maxLendPercent outside 1..100: " + maxLendPercent);
    }
    if (maxLoans < 1) {
      throw new IllegalArgumentException("maxLoans must be positive: " + maxLoans);
    }
  }

  /**
   * Longest time that a lender withholds an amount after the last request for it arrived.
   *
   * @return nanoseconds
   */
  public long maxWithheldNanos() {
    return loanDurationNanos + marginNanos;
  }
}
