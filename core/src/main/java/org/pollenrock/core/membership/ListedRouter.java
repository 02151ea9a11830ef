package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.InstanceId;

/**
 * One router in the instance list.
 *
 * @param id its name
 * @param address host and port of its peer listener
 * @param dataCentre where it runs
 * @param leaving whether the list says that it leaves
 */
public record ListedRouter(
    InstanceId id, String address, DataCentreId dataCentre, boolean leaving) {
  /** Checks that the parts are present. */
  public ListedRouter {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
