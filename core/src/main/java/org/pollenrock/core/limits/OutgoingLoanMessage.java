package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.InstanceId;

/**
 * A loan message that the router has to send to a peer. Limits stay correct if it is lost.
 *
 * @param to router that receives the message
 * @param message the message
 */
public record OutgoingLoanMessage(InstanceId to, LoanMessage message) {
  /** Checks that no component is null. */
  public OutgoingLoanMessage {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }
}
