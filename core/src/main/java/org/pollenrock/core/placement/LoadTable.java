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
 * Load and models of every known server.
 *
 * <p>A report of an older incarnation, or one that is older than the last report of the same
 * incarnation, is ignored. Leaving is final for an incarnation.
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
   * @param config parameters of the placer
   */
  public LoadTable(PlacerConfig config) {
    this.config = config;
  }

  /**
   * Takes a server's report.
   *
   * @param report the report
   * @param nowNanos time of arrival
   * @return false when it is outdated and was ignored
   */
  public boolean applyReport(ServerReport report, long nowNanos) {
    BackendServerId server = report.server();
    Incarnation known = latestIncarnations.get(server);
    if (known != null && known.isAfter(report.incarnation())) {
      return false;
    }
    ServerLoad load = servers.get(server);
    boolean sameLife = load != null && load.incarnation().equals(report.incarnation());
    boolean sameReportedLife = sameLife && load.report().incarnation().equals(load.incarnation());
    if (sameReportedLife && report.timeMillis() < load.report().timeMillis()) {
      return false;
    }
    latestIncarnations.put(server, report.incarnation());
    boolean accepts = report.accepting() && !report.incarnation().equals(leavingIncarnations.get(server));
    if (load == null) {
      load = new ServerLoad(report, nowNanos);
      servers.put(server, load);
      selections.clear();
      if (!accepts) {
        load.stopAccepting();
      }
      return true;
    }
    boolean sameOffer =
        sameReportedLife
            && load.accepting() == accepts
            && load.dataCentre().equals(report.dataCentre())
            && load.models().equals(report.models());
    load.update(report, accepts, nowNanos, config.reportLagNanos());
    if (!sameOffer) {
      selections.clear();
    }
    return true;
  }

  /**
   * Notes the incarnation that any message of a server named.
   *
   * @param server the server
   * @param incarnation the incarnation
   * @return false when a newer one is known
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
   * Notes that a server is leaving.
   *
   * @param server the server
   * @param incarnation the life that is ending; a newer one starts clean
   */
  public void markLeaving(BackendServerId server, Incarnation incarnation) {
    leavingIncarnations.merge(server, incarnation, (left, right) -> left.isAfter(right) ? left : right);
    ServerLoad load = servers.get(server);
    if (load != null && !load.incarnation().isAfter(incarnation)) {
      load.stopAccepting();
      selections.clear();
    }
  }

  /**
   * Removes a server. Its last incarnation is remembered, so that a late report of an earlier life
   * does not bring it back.
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
   * Looks up a server.
   *
   * @param server the name
   * @return its load, empty when it is not known
   */
  public Optional<ServerLoad> find(BackendServerId server) {
    return Optional.ofNullable(servers.get(server));
  }

  /**
   * Number of known servers.
   *
   * @return the count
   */
  public int size() {
    return servers.size();
  }

  /**
   * Servers that can take a request.
   *
   * @param request the request
   * @return the servers; {@link EligibleServers#all()} is empty when there is none
   */
  public EligibleServers eligible(PlacementRequest request) {
    SelectionKey selection =
        new SelectionKey(request.model(), request.adapter(), request.requiredWeights());
    EligibleServers found = selections.get(selection);
    if (found == null) {
      found = select(selection);
      if (selections.size() >= MAX_CACHED_SELECTIONS) {
        selections.clear();
      }
      selections.put(selection, found);
    }
    return request.excluded().isEmpty() ? found : without(found, request.excluded());
  }

  private static EligibleServers without(EligibleServers found, Set<BackendServerId> excluded) {
    List<EligibleServer> kept = new ArrayList<>(found.all());
    kept.removeIf(server -> excluded.contains(server.server()));
    return new EligibleServers(kept);
  }

  private EligibleServers select(SelectionKey selection) {
    List<EligibleServer> found = new ArrayList<>();
    for (ServerLoad load : servers.values()) {
      if (!load.accepting()) {
        continue;
      }
      long roundTrip = config.roundTripNanos(load.dataCentre());
      boolean local =
          load.dataCentre().equals(config.dataCentre())
              || roundTrip <= config.maxHomeRoundTripNanos();
      for (ServedModel served : load.models()) {
        if (selection.matches(served)) {
          found.add(new EligibleServer(load, served.weights(), local, roundTrip));
        }
      }
    }
    return new EligibleServers(found);
  }

  /**
   * Explains why no server can take a request.
   *
   * @param request the request
   * @return the first condition that no server fulfils
   */
  public NoServerReason noServerReason(PlacementRequest request) {
    SelectionKey anyVersion = new SelectionKey(request.model(), request.adapter(), Optional.empty());
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
   * What a server has to serve.
   *
   * @param model the model
   * @param adapter the adapter, if any
   * @param weights the only acceptable version, if any
   */
  private record SelectionKey(
      ModelId model, Optional<AdapterId> adapter, Optional<WeightsVersion> weights) {
    boolean matches(ServedModel served) {
      return served.model().equals(model)
          && (adapter.isEmpty() || served.adapters().contains(adapter.get()))
          && (weights.isEmpty() || served.weights().equals(weights.get()));
    }
  }

  /** Latest incarnation of servers, the most recently seen ones. */
  private static final class LatestIncarnations extends LinkedHashMap<BackendServerId, Incarnation> {
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
