package org.pollenrock.core.placement;

/** A request that this router has sent and that has not finished. */
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

  PlacementResult.Chosen chosen() {
    return chosen;
  }

  double missingTokens() {
    return missingTokens;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** True when the last report of the server was made after the request arrived there. */
  boolean isInReport() {
    return inReport;
  }

  void setInReport(boolean covered) {
    inReport = covered;
  }

  boolean isAnswered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }
}
