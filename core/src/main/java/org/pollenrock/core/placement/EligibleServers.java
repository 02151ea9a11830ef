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

/**
 * The servers that can serve a request, in order of their ids, with their id hashes for rendezvous
 * ranking.
 */
public final class EligibleServers {
  private final List<EligibleServer> all;
  private final List<EligibleServer> local;
  private final List<EligibleServer> remote;
  private final long[] localIdHashes;
  private final long[] remoteIdHashes;
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
    localIdHashes = idHashes(local);
    remoteIdHashes = idHashes(remote);
  }

  private static long[] idHashes(List<EligibleServer> servers) {
    return servers.stream().mapToLong(server -> server.load().idHash()).toArray();
  }

  /**
   * Returns all eligible servers.
   *
   * @return the servers in order of their ids
   */
  public List<EligibleServer> all() {
    return all;
  }

  /**
   * Returns the servers that homes are chosen from: the local ones, or all servers when none is
   * local.
   *
   * @return the servers in order of their ids
   */
  public List<EligibleServer> local() {
    return local;
  }

  /**
   * Returns the servers that are not local.
   *
   * @return the servers in order of their ids; empty when there is no local server, because {@link
   *     #local()} contains all servers then
   */
  public List<EligibleServer> remote() {
    return remote;
  }

  long[] localIdHashes() {
    return localIdHashes;
  }

  long[] remoteIdHashes() {
    return remoteIdHashes;
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
