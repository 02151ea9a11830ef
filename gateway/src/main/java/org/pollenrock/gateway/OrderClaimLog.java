package org.pollenrock.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.pollenrock.core.weights.OrderClaim;

/** Shared log on which instances claim the right to send orders to engines. */
public interface OrderClaimLog {
  /**
   * Newest claim and end of the log at the time of a read.
   *
   * @param claim the newest claim, if the log has one
   * @param offset offset of the newest claim
   * @param end offset of the end of the log
   * @param era era of the log, which rises when it comes back from an older copy
   */
  record NewestClaim(Optional<OrderClaim> claim, long offset, long end, long era) {}

  /**
   * Reads the newest claim.
   *
   * @param result receives the newest claim; empty when the log could not be read, or has come back
   *     from an older copy meanwhile
   */
  void read(Consumer<Optional<NewestClaim>> result);

  /**
   * Appends a claim on the condition that the log still ends where it was read.
   *
   * @param end expected offset of the end of the log
   * @param claim the claim
   * @param result receives the offset of the claim; empty when the claim was refused, the outcome
   *     is unknown, or the log has another era than the claim
   */
  void append(long end, OrderClaim claim, Consumer<OptionalLong> result);
}
