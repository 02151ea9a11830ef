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

/** The servers that can serve a request, in name order, with their seeds for rendezvous ranking. */
public final class EligibleServers {
  private final List<EligibleServer> all;
  private final List<EligibleServer> local;
  private final List<EligibleServer> remote;
  private final long[] localSeeds;
  private final long[] remoteSeeds;
  private final Set<WeightsVersion> weightsVersions = new LinkedHashSet<>();
  private final Map<BackendServerId, List<EligibleServer>> byServer = new HashMap<>();

  EligibleServers(List<EligibleServer> servers) {
    List<EligibleServer> localServers = new ArrayList<>();
    List<EligibleServer> remoteServers = new ArrayList<>();
    for (EligibleServer server : servers) {
      (server.local() ? localServers : remoteServers).add(server);
      weightsVersions.add(server.weights());
      byServer.computeIfAbsent(server.server(), id -> new ArrayList<>(1)).add(server);
    }
    all = List.copyOf(servers);
    local = List.copyOf(localServers.isEmpty() ? remoteServers : localServers);
    remote = localServers.isEmpty() ? List.of() : List.copyOf(remoteServers);
    localSeeds = seeds(local);
    remoteSeeds = seeds(remote);
  }

  private static long[] seeds(List<EligibleServer> servers) {
    return servers.stream().mapToLong(server -> server.load().seed()).toArray();
  }

  /**
   * Returns all eligible servers.
   *
   * @return the servers in name order
   */
  public List<EligibleServer> all() {
    return all;
  }

  /**
   * Returns the servers that homes are chosen from: the local ones, or all servers when none is
   * local.
   *
   * @return the servers in name order
   */
  public List<EligibleServer> local() {
    return local;
  }

  /**
   * Returns the servers that are not local.
   *
   * @return the servers in name order; empty when there is no local server, because {@link
   *     #local()} contains all servers then
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
   * Returns the weights versions that the eligible servers serve.
   *
   * @return one version, or several while a rollout is in progress
   */
  public Set<WeightsVersion> weightsVersions() {
    return Collections.unmodifiableSet(weightsVersions);
  }

  /**
   * Returns the entries of one server.
   *
   * @param server the server id
   * @return one entry for each weights version that the server serves; empty when the server is not
   *     eligible
   */
  public List<EligibleServer> forServer(BackendServerId server) {
    return byServer.getOrDefault(server, List.of());
  }
}
