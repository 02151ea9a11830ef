package org.pollenrock.core.limits;

/**
 * Durations and bounds of loans of shares; they must be equal on all routers.
 *
 * @param loanDurationNanos duration of a loan that is not renewed
 * @param marginNanos additional time on the lender's clock before it uses a lent amount again;
 *     covers the difference in clock rates
 * @param replyTimeoutNanos time after which a borrower stops waiting for a reply; a renewal is then
 *     sent again
 * @param minRequestIntervalNanos minimum time between two requests for new loans of one limit;
 *     bounds the number of messages of a router whose peers have nothing to lend
 * @param maxLendPercent maximum percentage of its unused share that a lender grants to one request,
 *     1 to 100
 * @param maxLoans maximum number of loans that one router may grant, and also that it may borrow
 */
public record ShareSettings(
    long loanDurationNanos,
    long marginNanos,
    long replyTimeoutNanos,
    long minRequestIntervalNanos,
    int maxLendPercent,
    int maxLoans) {
  /**
   * Validates the settings.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public ShareSettings {
    if (loanDurationNanos <= 0 || marginNanos < 0) {
      throw new IllegalArgumentException(
          "loanDurationNanos must be positive and marginNanos not negative: loan duration "
              + loanDurationNanos
              + " ns, margin "
              + marginNanos
              + " ns");
    }
    if (replyTimeoutNanos <= 0 || replyTimeoutNanos >= loanDurationNanos / 2) {
      throw new IllegalArgumentException(
          "replyTimeoutNanos must be positive and less than half of loanDurationNanos");
    }
    if (minRequestIntervalNanos < 0) {
      throw new IllegalArgumentException(
          "minRequestIntervalNanos must not be negative: " + minRequestIntervalNanos);
    }
    if (maxLendPercent < 1 || maxLendPercent > 100) {
      throw new IllegalArgumentException(
          "maxLendPercent must be between 1 and 100: " + maxLendPercent);
    }
    if (maxLoans < 1) {
      throw new IllegalArgumentException("maxLoans must be positive: " + maxLoans);
    }
  }

  /**
   * Returns the maximum time for which a lender withholds a lent amount from its own use after the
   * last request for the loan arrived.
   *
   * @return loan duration plus margin, in nanoseconds
   */
  public long maxWithheldNanos() {
    return loanDurationNanos + marginNanos;
  }
}
