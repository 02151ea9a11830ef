package org.pollenrock.core.order;

import java.util.Objects;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;

/**
 * Order that a server shall serve a model; repeating it has no further effect.
 *
 * @param server the server
 * @param assignment what it shall serve
 * @param fencingNumber number of the lease; servers that check it refuse smaller ones
 */
public record ServerOrder(
    BackendServerId server, Assignment assignment, FencingNumber fencingNumber) {
  /** Checks that the parts are present. */
  public ServerOrder {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(assignment, "assignment");
    Objects.requireNonNull(fencingNumber, "fencingNumber");
  }

  /**
   * Identity of the order at the server: the same content under the same fence is the same order.
   *
   * @return text without spaces
   */
  public String orderId() {
    return String.join(
        ":",
        Long.toString(fencingNumber.value()),
        server.value(),
        assignment.model().value(),
        assignment.version().value(),
        assignment.role());
  }
}
