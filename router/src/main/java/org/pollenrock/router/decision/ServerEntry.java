package org.pollenrock.router.decision;

import java.util.Objects;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.ServerRole;

/**
 * A backend server as the instance list shows it.
 *
 * @param id name
 * @param role model server or plain server
 * @param service service of a plain server
 * @param dataCentre where it runs
 * @param address where it listens
 * @param leaving whether the list shows it as leaving
 */
public record ServerEntry(
    BackendServerId id,
    ServerRole role,
    String service,
    DataCentreId dataCentre,
    HostPort address,
    boolean leaving) {
  /** Checks that all parts are present. */
  public ServerEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(address, "address");
  }
}
