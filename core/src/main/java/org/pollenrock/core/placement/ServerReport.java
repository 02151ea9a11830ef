package org.pollenrock.core.placement;

import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;

/**
 * Report of a backend server about its models and load.
 *
 * @param server the server that reports
 * @param incarnation current incarnation of the server
 * @param dataCentre data centre of the server
 * @param accepting whether the server accepts new requests; false while it is leaving or loading
 * @param models models that the server serves
 * @param load queue, slots and rates of the server
 * @param timeMillis time of the report by the server's own clock, in milliseconds; used only to
 *     order reports of the same incarnation
 */
public record ServerReport(
    BackendServerId server,
    Incarnation incarnation,
    DataCentreId dataCentre,
    boolean accepting,
    List<ServedModel> models,
    ReportedLoad load,
    long timeMillis) {
  /** Validates and copies the components. */
  public ServerReport {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(load, "load");
    models = List.copyOf(models);
  }
}
