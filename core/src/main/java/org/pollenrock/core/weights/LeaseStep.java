package org.pollenrock.core.weights;

/** Next action of an instance concerning the {@link OrderLease}. */
public sealed interface LeaseStep {
  /** Does nothing. */
  record Idle() implements LeaseStep {}

  /** Reads the newest claim from the log. */
  record ReadNewestClaim() implements LeaseStep {}

  /**
   * Appends a claim if the end of the log has not moved since the last read.
   *
   * @param logEnd end of the log at the last read
   * @param claim the claim
   */
  record AppendClaim(long logEnd, OrderClaim claim) implements LeaseStep {}
}
