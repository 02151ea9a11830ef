package org.pollenrock.router.decision;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.retry.EjectionSettings;
import org.pollenrock.core.retry.EjectionStatus;
import org.pollenrock.core.retry.OutlierEjector;

/**
 * Ejection of failing servers, one group for each model and each plain service, so that the floor
 * holds in each of them; confined to the decision thread.
 */
final class ServerHealthBook {
  private static final EjectionSettings SETTINGS =
      new EjectionSettings(
          3,
          10,
          0.3,
          Duration.ofSeconds(5).toNanos(),
          Duration.ofSeconds(1).toNanos(),
          Duration.ofSeconds(30).toNanos(),
          Duration.ofSeconds(5).toNanos());

  private final Map<String, OutlierEjector> groups = new HashMap<>();
  private final Map<String, Set<BackendServerId>> members = new HashMap<>();

  void members(String group, Collection<BackendServerId> servers, long nowNanos) {
    Set<BackendServerId> current = new HashSet<>(servers);
    if (!current.equals(members.put(group, current))) {
      ejector(group).setServers(current, nowNanos);
    }
  }

  Set<BackendServerId> excluded(String group, long nowNanos) {
    Set<BackendServerId> found = new HashSet<>();
    for (BackendServerId server : members.getOrDefault(group, Set.of())) {
      if (ejector(group).ejectionStatus(server, nowNanos) == EjectionStatus.EXCLUDED) {
        found.add(server);
      }
    }
    return found;
  }

  /** Notes that a server was chosen; an ejected one is on trial from now on. */
  void chosen(String group, BackendServerId server, long nowNanos) {
    ejector(group).tryStartTrial(server, nowNanos);
  }

  void observe(String group, BackendServerId server, boolean success, long nowNanos) {
    ejector(group).recordTrialOutcome(server, success, nowNanos);
    ejector(group).recordOutcome(server, success, nowNanos);
  }

  void restarted(BackendServerId server, long nowNanos) {
    groups.values().forEach(ejector -> ejector.resetServer(server, nowNanos));
  }

  int ejected() {
    return groups.values().stream().mapToInt(OutlierEjector::ejectedCount).sum();
  }

  private OutlierEjector ejector(String group) {
    return groups.computeIfAbsent(group, name -> new OutlierEjector(SETTINGS));
  }
}
