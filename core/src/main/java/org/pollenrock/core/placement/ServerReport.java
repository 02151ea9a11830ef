package org.pollenrock.core.placement;

import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;

/**
 * What a backend server reports about itself.
 *
 * @param server the server
 * @param incarnation its current life
 * @param dataCentre where it runs
 * @param accepting false when it is leaving or still loading
 * @param models models that it serves
 * @param load queue and rates
 * @param timeMillis time of the report by the server's own clock; orders reports of one incarnation
 */
public record ServerReport(
    BackendServerId server,
    Incarnation incarnation,
    DataCentreId dataCentre,
    boolean accepting,
    List<ServedModel> models,
    ReportedLoad load,
    long timeMillis) {
  /** Checks and copies the parts. */
  public ServerReport {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(load, "load");
    models = List.copyOf(models);
  }
}
