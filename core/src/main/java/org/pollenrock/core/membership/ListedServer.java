package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.ServerRole;

/**
 * One backend server in the instance list.
 *
 * @param id its name
 * @param role what it does
 * @param service name of the plain service; empty for a model server
 * @param address host and port
 * @param dataCentre where it runs
 * @param leaving whether the list says that it leaves
 */
public record ListedServer(
    BackendServerId id,
    ServerRole role,
    String service,
    String address,
    DataCentreId dataCentre,
    boolean leaving) {
  /** Checks that the parts are present. */
  public ListedServer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
