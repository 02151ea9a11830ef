package org.pollenrock.router.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.pollenrock.core.membership.ListedServer;
import org.pollenrock.core.membership.MembershipSettings;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.membership.ServerState;
import org.pollenrock.core.membership.ServerTable;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ServerRole;

/**
 * Known backend servers, from all evidence, and which of them may get work; confined to the
 * decision thread.
 */
final class ServerDirectory {
  private final ServerTable table = new ServerTable(MembershipSettings.defaults());
  private final LongSupplier nanoClock;
  private final Map<BackendServerId, ServerEntry> entries = new HashMap<>();
  private final Set<BackendServerId> suspect = new HashSet<>();
  private final Map<BackendServerId, Long> heldUntilNanos = new HashMap<>();
  private Set<BackendServerId> known = Set.of();
  private Set<BackendServerId> usable = Set.of();

  ServerDirectory(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  /** Takes a version of the instance list. */
  void listed(long version, List<ServerEntry> listed) {
    List<ListedServer> servers = new ArrayList<>();
    for (ServerEntry entry : listed) {
      entries.put(entry.id(), entry);
      servers.add(
          new ListedServer(
              entry.id(),
              entry.role(),
              entry.service(),
              entry.address().toString(),
              entry.dataCentre(),
              entry.leaving()));
    }
    table.applyList(version, servers, now());
    refresh();
  }

  /** Takes what a server says of itself. */
  void reported(BackendServerId server, Incarnation incarnation, boolean leaving) {
    observe(new ServerEvidence.Report(server, incarnation, leaving));
  }

  /** Takes a refusal that says that the server is leaving. */
  void refusedLeaving(BackendServerId server, Incarnation incarnation) {
    observe(new ServerEvidence.LeavingRefusal(server, incarnation));
  }

  /** Takes what a peer passes on. */
  void passedOn(List<ServerEvidence.PeerDigest> digests) {
    digests.forEach(this::observe);
  }

  /** Most evidence changes nothing, so the sets are made anew only when a state changed. */
  private void observe(ServerEvidence evidence) {
    long now = now();
    ServerState before = table.state(evidence.server(), now);
    table.observe(evidence, now);
    if (table.state(evidence.server(), now) != before) {
      refresh();
    }
  }

  /** What is passed on to peers: words of leaving servers, and recent ones of live servers. */
  List<ServerEvidence.PeerDigest> digests() {
    return table.digests(now()).stream()
        .filter(digest -> digest.leaving() || digest.ageNanos() <= PeerLinks.MAX_DIGEST_AGE_NANOS)
        .toList();
  }

  /** Lets evidence grow old; returns the servers that are gone since the last time. */
  Set<BackendServerId> tick() {
    table.tick(now());
    Set<BackendServerId> before = known;
    refresh();
    Set<BackendServerId> gone = new HashSet<>(before);
    gone.removeAll(known);
    suspect.removeAll(gone);
    heldUntilNanos.keySet().removeAll(gone);
    entries.keySet().removeAll(gone);
    return gone;
  }

  private void refresh() {
    long now = now();
    known = ids(table.knownServers(now));
    usable = ids(table.usableServers(now));
  }

  private static Set<BackendServerId> ids(List<ListedServer> servers) {
    return servers.stream().map(ListedServer::id).collect(Collectors.toUnmodifiableSet());
  }

  Optional<ServerEntry> find(BackendServerId server) {
    return Optional.ofNullable(entries.get(server));
  }

  Optional<Incarnation> incarnation(BackendServerId server) {
    return table.incarnation(server);
  }

  /** Servers that are not gone; their reports are to be read. */
  Collection<ServerEntry> all() {
    return entries.values().stream().filter(entry -> known.contains(entry.id())).toList();
  }

  void suspect(BackendServerId server, boolean on) {
    if (on) {
      suspect.add(server);
    } else {
      suspect.remove(server);
    }
  }

  boolean isSuspect(BackendServerId server) {
    return suspect.contains(server);
  }

  boolean isUsable(BackendServerId server) {
    return usable.contains(server) && !suspect.contains(server) && !isHeld(server);
  }

  private boolean isHeld(BackendServerId server) {
    Long until = heldUntilNanos.get(server);
    return until != null && now() - until < 0;
  }

  /** Holds new work back from a server that is drained for a load. */
  void hold(BackendServerId server, long untilNanos) {
    heldUntilNanos.put(server, untilNanos);
  }

  /** Ends a hold before its time. */
  void release(BackendServerId server) {
    heldUntilNanos.remove(server);
  }

  /** Servers that may not get new work. */
  Set<BackendServerId> unusable() {
    Set<BackendServerId> found = new HashSet<>(entries.keySet());
    found.removeIf(this::isUsable);
    return found;
  }

  List<ServerEntry> plainServers(String service) {
    List<ServerEntry> found = new ArrayList<>();
    for (ServerEntry entry : entries.values()) {
      if (entry.role() == ServerRole.PLAIN_SERVER && entry.service().equals(service)) {
        found.add(entry);
      }
    }
    return found;
  }

  private long now() {
    return nanoClock.getAsLong();
  }
}
