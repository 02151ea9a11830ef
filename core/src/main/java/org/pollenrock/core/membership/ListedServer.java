package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.ServerRole;

/**
 * Entry of the instance list that describes a backend server.
 *
 * @param id id of the server
 * @param role role of the server
 * @param service name of the plain service that the server provides; empty for a model server
 * @param address host and port of the server
 * @param dataCentre data centre in which the server runs
 * @param leaving whether the list marks the server as leaving
 */
public record ListedServer(
    BackendServerId id,
    ServerRole role,
    String service,
    String address,
    DataCentreId dataCentre,
    boolean leaving) {
  /** Checks that no reference component is null. */
  public ListedServer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
