package org.pollenrock.core.order;

import java.util.Objects;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;

/** What the lease holder must do next. */
public sealed interface OrderDecision {
  /**
   * Send an order to its server.
   *
   * @param order the order
   */
  record SendOrder(ServerOrder order) implements OrderDecision {
    /** Checks that the order is present. */
    public SendOrder {
      Objects.requireNonNull(order, "order");
    }
  }

  /**
   * Tell every router to send no new work to a server. The hold ends by itself unless repeated, so
   * that a holder that disappears leaves no server drained. Messages about drains reach each router
   * in the order of the decisions.
   *
   * @param server the server
   * @param fencingNumber number of the lease
   * @param holdNanos how long the routers hold back
   */
  record DrainServer(BackendServerId server, FencingNumber fencingNumber, long holdNanos)
      implements OrderDecision {
    /** Checks that the parts are present. */
    public DrainServer {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(fencingNumber, "fencingNumber");
    }
  }

  /**
   * Tell every router that a server may get work again.
   *
   * @param server the server
   * @param fencingNumber number of the lease
   */
  record ResumeServer(BackendServerId server, FencingNumber fencingNumber)
      implements OrderDecision {
    /** Checks that the parts are present. */
    public ResumeServer {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The rollout moved to another phase.
   *
   * @param state the new state
   */
  record StateChanged(RolloutState state) implements OrderDecision {
    /** Checks that the state is present. */
    public StateChanged {
      Objects.requireNonNull(state, "state");
    }
  }
}
