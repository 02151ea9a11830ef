package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.InstanceId;

/**
 * Entry of the instance list that describes a router.
 *
 * @param id id of the router
 * @param address host and port of the listener for peers
 * @param dataCentre data centre in which the router runs
 * @param leaving whether the list marks the router as leaving
 */
public record ListedRouter(
    InstanceId id, String address, DataCentreId dataCentre, boolean leaving) {
  /** Checks that no reference component is null. */
  public ListedRouter {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
