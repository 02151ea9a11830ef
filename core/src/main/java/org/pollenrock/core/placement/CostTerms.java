package org.pollenrock.core.placement;

/**
 * Terms of a candidate's cost. The total ranks candidates; the terms explain a decision to
 * operators.
 *
 * @param missingTokens prompt tokens that have to be prefilled or imported
 * @param prefillNanos time to prefill the missing tokens; with an import, the time to import blocks
 *     and to prefill the rest
 * @param queueNanos expected wait for the prefill work that is queued ahead of the request
 * @param slotNanos expected wait for a free slot; above the target utilisation, part of this wait
 *     is counted although a slot is free
 * @param networkNanos round trip to the server's data centre
 * @param urgentNanos wait of an urgent request for a running prefill chunk, which cannot be
 *     interrupted; 0 for other priorities
 * @param evictionNanos time that other requests lose because new blocks evict theirs, before it is
 *     multiplied by the hit weight
 * @param delayNanos time by which the prefill work of this request delays requests that arrive
 *     while the queue drains
 * @param reusablePrefillNanos prefill time of the blocks that later requests will reuse at a home;
 *     subtracted from the total
 * @param totalNanos the weighted sum by which candidates are compared
 */
public record CostTerms(
    double missingTokens,
    double prefillNanos,
    double queueNanos,
    double slotNanos,
    double networkNanos,
    double urgentNanos,
    double evictionNanos,
    double delayNanos,
    double reusablePrefillNanos,
    double totalNanos) {
  /**
   * Returns the expected time to first token.
   *
   * @return time to first token in nanoseconds
   */
  public double ttftNanos() {
    return prefillNanos + queueNanos + slotNanos + networkNanos + urgentNanos;
  }
}
