package org.pollenrock.core.retry;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;

/**
 * Keeps failing servers of one model out of use for a while.
 *
 * <p>A server is ejected after several failures in a row, or when its success rate lies far under
 * that of the other servers. At most a third of the servers, rounded down, are ejected at a time
 * and never the last, so with one or two servers none is: a fault that hits all servers must not
 * remove all capacity. Each further ejection lasts twice as long. After it, one trial request
 * decides whether the server returns.
 */
public final class OutlierEjector {
  private static final int MAX_EJECTED_DIVISOR = 3;

  private final EjectionSettings settings;
  private final Map<BackendServerId, ServerHealth> servers = new LinkedHashMap<>();

  /**
   * Creates an ejector without servers.
   *
   * @param settings bounds of ejection
   */
  public OutlierEjector(EjectionSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Replaces the set of servers that serve the model. When fewer remain, the servers with the
   * oldest ejections return until the floor holds again.
   *
   * @param members the servers
   * @param nowNanos time now
   */
  public void setServers(Collection<BackendServerId> members, long nowNanos) {
    servers.keySet().retainAll(members);
    for (BackendServerId member : members) {
      servers.computeIfAbsent(member, added -> new ServerHealth(nowNanos));
    }
    while (ejectedCount() > maxEjected()) {
      oldestEjection().ifPresent(health -> health.reinstate(nowNanos));
    }
  }

  /**
   * Forgets the outcomes of a server, because a new incarnation of it started.
   *
   * @param server the server
   * @param nowNanos time now
   */
  public void resetServer(BackendServerId server, long nowNanos) {
    if (servers.containsKey(server)) {
      servers.put(server, new ServerHealth(nowNanos));
    }
  }

  /**
   * Counts the outcome of a request that was not a trial. Outcomes of unknown servers are ignored;
   * so are those of ejected servers, since they belong to requests from before the ejection.
   *
   * @param server the server
   * @param success whether the server answered as it should; a refusal of an invalid request is a
   *     success of the server
   * @param nowNanos time now
   */
  public void recordOutcome(BackendServerId server, boolean success, long nowNanos) {
    ServerHealth health = servers.get(server);
    if (health == null || health.isEjected()) {
      return;
    }
    health.recordOutcome(success, settings.halfLifeNanos(), nowNanos);
    if (!success && ejectedCount() < maxEjected() && isOutlier(server, health, nowNanos)) {
      health.eject(settings, nowNanos);
    }
  }

  /**
   * Takes the outcome of a trial request. It is ignored when the server has no trial outstanding.
   *
   * @param server the server
   * @param success whether the server answered as it should
   * @param nowNanos time now
   */
  public void recordTrialOutcome(BackendServerId server, boolean success, long nowNanos) {
    ServerHealth health = servers.get(server);
    if (health == null || !health.isTrialRunning()) {
      return;
    }
    if (success) {
      health.reinstate(nowNanos);
    } else {
      health.eject(settings, nowNanos);
    }
  }

  /**
   * Tells whether a server may get a request.
   *
   * @param server the server
   * @param nowNanos time now
   * @return allowed, also for a server that is not known; trial when {@link #tryStartTrial} must be
   *     called for the request; or excluded
   */
  public EjectionStatus ejectionStatus(BackendServerId server, long nowNanos) {
    ServerHealth health = servers.get(server);
    return health == null
        ? EjectionStatus.ALLOWED
        : health.ejectionStatus(settings.trialTimeoutNanos(), nowNanos);
  }

  /**
   * Claims the trial request of an ejected server.
   *
   * @param server the server
   * @param nowNanos time now
   * @return whether the caller may send the trial request
   */
  public boolean tryStartTrial(BackendServerId server, long nowNanos) {
    if (ejectionStatus(server, nowNanos) != EjectionStatus.TRIAL) {
      return false;
    }
    servers.get(server).startTrial(nowNanos);
    return true;
  }

  /**
   * Number of servers that are ejected, those on trial included.
   *
   * @return the number
   */
  public int ejectedCount() {
    return (int) servers.values().stream().filter(ServerHealth::isEjected).count();
  }

  /**
   * Largest number of servers that may be ejected.
   *
   * @return a third of the servers, rounded down
   */
  public int maxEjected() {
    return servers.size() / MAX_EJECTED_DIVISOR;
  }

  private Optional<ServerHealth> oldestEjection() {
    return servers.values().stream()
        .filter(ServerHealth::isEjected)
        .min(Comparator.comparingLong(ServerHealth::ejectedSinceNanos));
  }

  private boolean isOutlier(BackendServerId server, ServerHealth health, long nowNanos) {
    return health.consecutiveFailures() >= settings.consecutiveFailures()
        || hasLowSuccessRate(server, health, nowNanos);
  }

  private boolean hasLowSuccessRate(BackendServerId server, ServerHealth health, long nowNanos) {
    if (health.samples() < settings.minSamples()) {
      return false;
    }
    double otherSuccesses = 0;
    double otherSamples = 0;
    for (Map.Entry<BackendServerId, ServerHealth> other : servers.entrySet()) {
      if (other.getKey().equals(server) || other.getValue().isEjected()) {
        continue;
      }
      other.getValue().decay(settings.halfLifeNanos(), nowNanos);
      otherSuccesses += other.getValue().successes();
      otherSamples += other.getValue().samples();
    }
    if (otherSamples < settings.minSamples()) {
      return false;
    }
    double own = health.successes() / health.samples();
    return own < otherSuccesses / otherSamples - settings.successMargin();
  }
}
