package org.pollenrock.core.order;

import java.util.Objects;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;

/** An action that the lease holder must perform for a rollout. */
public sealed interface OrderDecision {
  /**
   * Sends an order to its server.
   *
   * @param order the order
   */
  record SendOrder(ServerOrder order) implements OrderDecision {
    /** Checks that the order is not null. */
    public SendOrder {
      Objects.requireNonNull(order, "order");
    }
  }

  /**
   * Tells every router to send no new requests to a server. The drain expires unless it is
   * repeated, so that no server stays drained when the lease holder fails. Each router must receive
   * the drain and resume messages in the order of the decisions.
   *
   * @param server the server
   * @param fencingNumber fencing number of the lease
   * @param holdNanos time until the drain expires at a router
   */
  record DrainServer(BackendServerId server, FencingNumber fencingNumber, long holdNanos)
      implements OrderDecision {
    /** Checks that the server and the fencing number are not null. */
    public DrainServer {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(fencingNumber, "fencingNumber");
    }
  }

  /**
   * Tells every router that a server may receive requests again.
   *
   * @param server the server
   * @param fencingNumber fencing number of the lease
   */
  record ResumeServer(BackendServerId server, FencingNumber fencingNumber)
      implements OrderDecision {
    /** Checks that the server and the fencing number are not null. */
    public ResumeServer {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(fencingNumber, "fencingNumber");
    }
  }

  /**
   * Reports that the phase of the rollout or its reason has changed.
   *
   * @param state the new state
   */
  record StateChanged(RolloutState state) implements OrderDecision {
    /** Checks that the state is not null. */
    public StateChanged {
      Objects.requireNonNull(state, "state");
    }
  }
}
