package org.pollenrock.core.weights;

/** What an instance does about the lease on orders. */
public sealed interface LeaseStep {
  /** Nothing now. */
  record Rest() implements LeaseStep {}

  /** Reads the newest claim. */
  record Read() implements LeaseStep {}

  /**
   * Appends a claim, on the condition that the log still ends where it was read.
   *
   * @param end end of the log
   * @param claim the claim
   */
  record Claim(long end, OrderClaim claim) implements LeaseStep {}
}
