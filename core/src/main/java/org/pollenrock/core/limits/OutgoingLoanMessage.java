package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.InstanceId;

/**
 * A message that the router must send; nothing depends on its arrival.
 *
 * @param to the other router
 * @param message the message
 */
public record OutgoingLoanMessage(InstanceId to, LoanMessage message) {
  /** Checks that all parts are present. */
  public OutgoingLoanMessage {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }
}
