package org.pollenrock.router.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.ServerRole;

/** Known backend servers and which of them are suspect; confined to the decision thread. */
final class ServerDirectory {
  private final Map<BackendServerId, ServerEntry> entries = new LinkedHashMap<>();
  private final Set<BackendServerId> suspect = new HashSet<>();
  private final Set<BackendServerId> leaving = new HashSet<>();

  /** Replaces the list and returns the servers that are no longer in it. */
  List<BackendServerId> replace(List<ServerEntry> listed) {
    List<BackendServerId> gone = new ArrayList<>(entries.keySet());
    listed.forEach(entry -> gone.remove(entry.id()));
    entries.clear();
    listed.forEach(entry -> entries.put(entry.id(), entry));
    suspect.retainAll(entries.keySet());
    leaving.retainAll(entries.keySet());
    return gone;
  }

  Optional<ServerEntry> find(BackendServerId server) {
    return Optional.ofNullable(entries.get(server));
  }

  Collection<ServerEntry> all() {
    return entries.values();
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

  /** Notes what a server says of itself. */
  void leaving(BackendServerId server, boolean on) {
    if (on) {
      leaving.add(server);
    } else {
      leaving.remove(server);
    }
  }

  Set<BackendServerId> unusable() {
    Set<BackendServerId> found = new HashSet<>(suspect);
    found.addAll(leaving);
    for (ServerEntry entry : entries.values()) {
      if (entry.leaving()) {
        found.add(entry.id());
      }
    }
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
}
