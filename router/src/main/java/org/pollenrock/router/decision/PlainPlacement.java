package org.pollenrock.router.decision;

import java.util.List;
import java.util.Set;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;

/**
 * Choice of plain servers: those of the own data centre take turns, others only when there is none;
 * confined to the decision thread.
 */
final class PlainPlacement {
  private final DataCentreId dataCentre;
  private final ServerDirectory directory;
  private final ServerHealthBook health;
  private int turn;

  PlainPlacement(DataCentreId dataCentre, ServerDirectory directory, ServerHealthBook health) {
    this.dataCentre = dataCentre;
    this.directory = directory;
    this.health = health;
  }

  Result<Choice> choose(String service, Set<BackendServerId> avoided, long nowNanos) {
    List<ServerEntry> servers = directory.plainServers(service);
    health.members(group(service), servers.stream().map(ServerEntry::id).toList(), nowNanos);
    Set<BackendServerId> unusable = directory.unusable();
    unusable.addAll(health.excluded(group(service), nowNanos));
    List<ServerEntry> usable = without(servers, unusable);
    List<ServerEntry> fresh = without(usable, avoided);
    List<ServerEntry> candidates = preferLocal(fresh.isEmpty() ? usable : fresh);
    if (candidates.isEmpty()) {
      return Result.failure(Decisions.noServer("no live server of the service"));
    }
    turn++;
    ServerEntry chosen = candidates.get(Math.floorMod(turn, candidates.size()));
    health.chosen(group(service), chosen.id(), nowNanos);
    return Result.success(new Choice.Plain(chosen.id(), chosen.address()));
  }

  void ended(String service, BackendServerId server, boolean success, long nowNanos) {
    health.observe(group(service), server, success, nowNanos);
  }

  private static List<ServerEntry> without(
      List<ServerEntry> servers, Set<BackendServerId> excluded) {
    return servers.stream().filter(entry -> !excluded.contains(entry.id())).toList();
  }

  private List<ServerEntry> preferLocal(List<ServerEntry> servers) {
    List<ServerEntry> local =
        servers.stream().filter(entry -> entry.dataCentre().equals(dataCentre)).toList();
    return local.isEmpty() ? servers : local;
  }

  private static String group(String service) {
    return "service " + service;
  }
}
