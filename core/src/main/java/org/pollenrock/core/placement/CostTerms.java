package org.pollenrock.core.placement;

/**
 * Parts of a candidate's cost, for decisions and explanations.
 *
 * @param missingTokens prompt tokens that have to be prefilled or imported
 * @param prefillNanos time to prefill the missing tokens, less what an import saves
 * @param queueNanos expected wait for the prefill work ahead
 * @param slotNanos expected wait for a free slot, in part already above the target utilisation
 * @param networkNanos round trip to the server's data centre
 * @param urgentNanos time that a prefill chunk which cannot be interrupted adds for urgent requests
 * @param evictionNanos time that other requests lose because new blocks evict theirs, before the
 *     hit weight
 * @param reusablePrefillNanos prefill that serves later requests at a home as well; not counted in
 *     the total
 * @param totalNanos the weighted sum that is compared
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
   * Expected time to first token.
   *
   * @return nanoseconds
   */
  public double ttftNanos() {
    return prefillNanos + queueNanos + slotNanos + networkNanos + urgentNanos;
  }
}
