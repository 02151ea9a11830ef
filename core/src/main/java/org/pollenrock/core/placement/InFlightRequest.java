package org.pollenrock.core.placement;

/**
 * A request that this router has sent and that has not ended, with its share of the server's load.
 */
final class InFlightRequest {
  private final PlacementResult.Chosen chosen;
  private final double missingTokens;
  private final long sentNanos;
  private boolean inReport;
  private boolean answered;

  InFlightRequest(PlacementResult.Chosen chosen, double missingTokens, long sentNanos) {
    this.chosen = chosen;
    this.missingTokens = missingTokens;
    this.sentNanos = sentNanos;
  }

  /** Returns the placement that the request was sent with. */
  PlacementResult.Chosen chosen() {
    return chosen;
  }

  /** Returns the prompt tokens that the server has to prefill. */
  double missingTokens() {
    return missingTokens;
  }

  /** Returns the time at which the request was sent, in monotonic nanoseconds. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns whether the last report of the server already includes the request. */
  boolean isInReport() {
    return inReport;
  }

  void setInReport(boolean included) {
    inReport = included;
  }

  /** Returns whether the first token of the response has arrived. */
  boolean isAnswered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }
}
