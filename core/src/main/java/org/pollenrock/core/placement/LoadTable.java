package org.pollenrock.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Holds the load and the models of every known server and selects the servers that can serve a
 * request.
 *
 * <p>A report of an older incarnation, or one that is older than the last report of the same
 * incarnation, is ignored. An incarnation that has been marked as leaving never accepts requests
 * again. Times are monotonic nanoseconds.
 */
public final class LoadTable {
  private static final int MAX_REMEMBERED_INCARNATIONS = 8_192;
  private static final int MAX_CACHED_SELECTIONS = 256;

  private final PlacerConfig config;
  private final Map<BackendServerId, ServerLoad> servers = new TreeMap<>();
  private final Map<BackendServerId, Incarnation> leavingIncarnations = new HashMap<>();
  private final Map<BackendServerId, Incarnation> latestIncarnations = new LatestIncarnations();
  private final Map<SelectionKey, EligibleServers> selections = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param config parameters of the placer that uses this table
   */
  public LoadTable(PlacerConfig config) {
    this.config = config;
  }

  /**
   * Applies a report of a server.
   *
   * @param report the report
   * @param nowNanos time at which the report arrived
   * @return false when the report is outdated and was ignored
   */
  public boolean applyReport(ServerReport report, long nowNanos) {
    BackendServerId server = report.server();
    Incarnation known = latestIncarnations.get(server);
    if (known != null && known.isAfter(report.incarnation())) {
      return false;
    }
    ServerLoad load = servers.get(server);
    boolean sameIncarnation = load != null && load.incarnation().equals(report.incarnation());
    boolean sameReportedIncarnation =
        sameIncarnation && load.report().incarnation().equals(load.incarnation());
    if (sameReportedIncarnation && report.timeMillis() < load.report().timeMillis()) {
      return false;
    }
    latestIncarnations.put(server, report.incarnation());
    boolean accepts =
        report.accepting() && !report.incarnation().equals(leavingIncarnations.get(server));
    if (load == null) {
      load = new ServerLoad(report, nowNanos);
      servers.put(server, load);
      selections.clear();
      if (!accepts) {
        load.stopAccepting();
      }
      return true;
    }
    boolean selectionsUnchanged =
        sameReportedIncarnation
            && load.accepting() == accepts
            && load.dataCentre().equals(report.dataCentre())
            && load.models().equals(report.models());
    load.update(report, accepts, nowNanos, config.reportLagNanos());
    if (!selectionsUnchanged) {
      selections.clear();
    }
    return true;
  }

  /**
   * Records the incarnation that a message of a server named. A newer incarnation than the known
   * one stops the use of the server until its next report.
   *
   * @param server the server
   * @param incarnation the incarnation that the message named
   * @return false when a newer incarnation is known
   */
  public boolean observeIncarnation(BackendServerId server, Incarnation incarnation) {
    Incarnation known = latestIncarnations.get(server);
    if (known != null && known.isAfter(incarnation)) {
      return false;
    }
    latestIncarnations.put(server, incarnation);
    ServerLoad load = servers.get(server);
    if (load != null && incarnation.isAfter(load.incarnation())) {
      load.markRestarted(incarnation);
      selections.clear();
    }
    return true;
  }

  /**
   * Records that a server is leaving.
   *
   * @param server the server
   * @param incarnation the incarnation that is leaving; a newer incarnation is not affected
   */
  public void markLeaving(BackendServerId server, Incarnation incarnation) {
    leavingIncarnations.merge(
        server, incarnation, (left, right) -> left.isAfter(right) ? left : right);
    ServerLoad load = servers.get(server);
    if (load != null && !load.incarnation().isAfter(incarnation)) {
      load.stopAccepting();
      selections.clear();
    }
  }

  /**
   * Removes a server. Its latest incarnation is remembered, so that a late report of an earlier
   * incarnation does not add the server again.
   *
   * @param server the server
   */
  public void remove(BackendServerId server) {
    if (servers.remove(server) != null) {
      selections.clear();
    }
    leavingIncarnations.remove(server);
  }

  /**
   * Returns the load of a server.
   *
   * @param server the server id
   * @return the load, empty when the server is not known
   */
  public Optional<ServerLoad> find(BackendServerId server) {
    return Optional.ofNullable(servers.get(server));
  }

  /**
   * Returns the number of known servers.
   *
   * @return number of servers
   */
  public int size() {
    return servers.size();
  }

  /**
   * Returns the servers that can serve a request.
   *
   * @param request the request
   * @return the servers; {@link EligibleServers#all()} is empty when there is no such server
   */
  public EligibleServers eligible(PlacementRequest request) {
    SelectionKey key =
        new SelectionKey(request.model(), request.adapter(), request.requiredWeights());
    EligibleServers eligible = selections.get(key);
    if (eligible == null) {
      eligible = select(key);
      if (selections.size() >= MAX_CACHED_SELECTIONS) {
        selections.clear();
      }
      selections.put(key, eligible);
    }
    return request.excluded().isEmpty() ? eligible : without(eligible, request.excluded());
  }

  private static EligibleServers without(EligibleServers eligible, Set<BackendServerId> excluded) {
    List<EligibleServer> remaining = new ArrayList<>(eligible.all());
    remaining.removeIf(server -> excluded.contains(server.server()));
    return new EligibleServers(remaining);
  }

  private EligibleServers select(SelectionKey key) {
    List<EligibleServer> eligible = new ArrayList<>();
    for (ServerLoad load : servers.values()) {
      if (!load.accepting()) {
        continue;
      }
      long roundTrip = config.roundTripNanos(load.dataCentre());
      boolean local =
          load.dataCentre().equals(config.dataCentre())
              || roundTrip <= config.maxHomeRoundTripNanos();
      for (ServedModel served : load.models()) {
        if (key.matches(served)) {
          eligible.add(new EligibleServer(load, served.weights(), local, roundTrip));
        }
      }
    }
    return new EligibleServers(eligible);
  }

  /**
   * Returns the reason why no server can serve a request.
   *
   * @param request a request without eligible server
   * @return the first condition that no server meets
   */
  public NoServerReason noServerReason(PlacementRequest request) {
    SelectionKey anyVersion =
        new SelectionKey(request.model(), request.adapter(), Optional.empty());
    SelectionKey anyAdapter = new SelectionKey(request.model(), Optional.empty(), Optional.empty());
    boolean served =
        servers.values().stream()
            .flatMap(load -> load.models().stream())
            .anyMatch(anyAdapter::matches);
    if (!served) {
      return NoServerReason.MODEL_NOT_SERVED;
    }
    if (select(anyAdapter).all().isEmpty()) {
      return NoServerReason.NONE_ACCEPTING;
    }
    if (select(anyVersion).all().isEmpty()) {
      return NoServerReason.ADAPTER_NOT_LOADED;
    }
    if (eligible(request.excluding(Set.of())).all().isEmpty()) {
      return NoServerReason.WEIGHTS_NOT_SERVED;
    }
    return NoServerReason.ALL_EXCLUDED;
  }

  /**
   * The conditions of a request on what a server serves; key of the cached selections.
   *
   * @param model the model
   * @param adapter the adapter, if the request needs one
   * @param weights the only acceptable weights version, if the request requires one
   */
  private record SelectionKey(
      ModelId model, Optional<AdapterId> adapter, Optional<WeightsVersion> weights) {
    boolean matches(ServedModel served) {
      return served.model().equals(model)
          && (adapter.isEmpty() || served.adapters().contains(adapter.get()))
          && (weights.isEmpty() || served.weights().equals(weights.get()));
    }
  }

  /**
   * Latest known incarnation of each server. Bounded: the entries that were not used for the
   * longest time are dropped first.
   */
  private static final class LatestIncarnations
      extends LinkedHashMap<BackendServerId, Incarnation> {
    private static final long serialVersionUID = 1L;

    LatestIncarnations() {
      super(64, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<BackendServerId, Incarnation> eldest) {
      return size() > MAX_REMEMBERED_INCARNATIONS;
    }
  }
}
