package org.pollenrock.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.pollenrock.core.weights.OrderClaim;

/** Log of the claims on the right to give orders. */
public interface OrderClaimLog {
  /**
   * What was read.
   *
   * @param claim the newest claim, if there is one
   * @param offset its offset
   * @param end end of the log
   */
  record NewestClaim(Optional<OrderClaim> claim, long offset, long end) {}

  /**
   * Reads the newest claim.
   *
   * @param result gets it; empty when the log did not answer
   */
  void read(Consumer<Optional<NewestClaim>> result);

  /**
   * Appends a claim if the log still ends where it was read.
   *
   * @param end the expected end
   * @param claim the claim
   * @param result gets the offset of the claim; empty when it was refused or the outcome is unknown
   */
  void append(long end, OrderClaim claim, Consumer<OptionalLong> result);
}
