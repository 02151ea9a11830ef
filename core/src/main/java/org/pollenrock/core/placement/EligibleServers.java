package org.pollenrock.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.WeightsVersion;

/** Servers that can take a request, in name order, with what rendezvous ranking needs. */
public final class EligibleServers {
  private final List<EligibleServer> all;
  private final List<EligibleServer> local;
  private final List<EligibleServer> remote;
  private final long[] localSeeds;
  private final long[] remoteSeeds;
  private final Set<WeightsVersion> weightsVersions = new LinkedHashSet<>();
  private final Map<BackendServerId, List<EligibleServer>> byServer = new HashMap<>();

  EligibleServers(List<EligibleServer> servers) {
    List<EligibleServer> near = new ArrayList<>();
    List<EligibleServer> far = new ArrayList<>();
    for (EligibleServer server : servers) {
      (server.local() ? near : far).add(server);
      weightsVersions.add(server.weights());
      byServer.computeIfAbsent(server.server(), id -> new ArrayList<>(1)).add(server);
    }
    all = List.copyOf(servers);
    local = List.copyOf(near.isEmpty() ? far : near);
    remote = near.isEmpty() ? List.of() : List.copyOf(far);
    localSeeds = seeds(local);
    remoteSeeds = seeds(remote);
  }

  private static long[] seeds(List<EligibleServer> servers) {
    return servers.stream().mapToLong(server -> server.load().seed()).toArray();
  }

  /**
   * Every suitable server.
   *
   * @return the servers in name order
   */
  public List<EligibleServer> all() {
    return all;
  }

  /**
   * Servers that homes are chosen from; all servers when none is near.
   *
   * @return the servers in name order
   */
  public List<EligibleServer> local() {
    return local;
  }

  /**
   * Servers in other data centres, when there are local ones.
   *
   * @return the servers in name order
   */
  public List<EligibleServer> remote() {
    return remote;
  }

  long[] localSeeds() {
    return localSeeds;
  }

  long[] remoteSeeds() {
    return remoteSeeds;
  }

  /**
   * Weights versions that the suitable servers serve.
   *
   * @return one version, or several while a rollout is in progress
   */
  public Set<WeightsVersion> weightsVersions() {
    return Collections.unmodifiableSet(weightsVersions);
  }

  /**
   * Looks up a server.
   *
   * @param server the name
   * @return one element for each version that it serves, empty when it is not suitable
   */
  public List<EligibleServer> forServer(BackendServerId server) {
    return byServer.getOrDefault(server, List.of());
  }
}
