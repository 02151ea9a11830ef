package org.pollenrock.core.order;

import java.util.Objects;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;

/**
 * An order to a server to serve a model. The order is idempotent.
 *
 * @param server the server
 * @param assignment what the server is to serve
 * @param fencingNumber fencing number of the lease; servers that check it refuse orders with a
 *     smaller number than one they have seen
 */
public record ServerOrder(
    BackendServerId server, Assignment assignment, FencingNumber fencingNumber) {
  /** Checks that no component is null. */
  public ServerOrder {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(assignment, "assignment");
    Objects.requireNonNull(fencingNumber, "fencingNumber");
  }

  /**
   * Returns the identifier of this order. Orders with the same server, assignment and fencing
   * number have the same identifier.
   *
   * @return the components separated by colons
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
