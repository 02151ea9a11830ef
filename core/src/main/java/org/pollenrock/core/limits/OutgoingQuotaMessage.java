package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.InstanceId;

/**
 * A message that the instance has to send to another one.
 *
 * @param to instance that receives the message
 * @param message the message
 */
public record OutgoingQuotaMessage(InstanceId to, QuotaMessage message) {
  /** Checks that no component is null. */
  public OutgoingQuotaMessage {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }
}
