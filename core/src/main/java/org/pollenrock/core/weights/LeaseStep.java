package org.pollenrock.core.weights;

/** What an instance does about the lease on orders. */
public sealed interface LeaseStep {
  /** Nothing now. */
  record Idle() implements LeaseStep {}

  /** Reads the newest claim. */
  record ReadNewestClaim() implements LeaseStep {}

  /**
   * Appends a claim, on the condition that the log still ends where it was read.
   *
   * @param logEnd end of the log
   * @param claim the claim
   */
  record AppendClaim(long logEnd, OrderClaim claim) implements LeaseStep {}
}
