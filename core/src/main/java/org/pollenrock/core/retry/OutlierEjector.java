package org.pollenrock.core.retry;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;

/**
 * Temporarily ejects failing servers of one group, for example of one model.
 *
 * <p>A server is ejected after several consecutive failures, or if its success rate is far below
 * that of the other servers. At most a third of the servers, rounded down, are ejected at a time,
 * and never the last server; with one or two servers, none is ejected. This way a fault that
 * affects all servers does not remove all capacity. Each further ejection lasts twice as long, up
 * to a maximum. After an ejection, a single trial request decides whether the server is reinstated.
 */
public final class OutlierEjector {
  /** At most this fraction of the servers, one third, is ejected at a time. */
  private static final int MAX_EJECTED_DIVISOR = 3;

  private final EjectionSettings settings;
  private final Map<BackendServerId, ServerHealth> servers = new LinkedHashMap<>();

  /**
   * Creates an ejector without servers.
   *
   * @param settings thresholds and durations
   */
  public OutlierEjector(EjectionSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Replaces the set of servers. If more servers are ejected than {@link #maxEjected} allows for
   * the new set, the servers with the oldest ejections are reinstated first.
   *
   * @param serverIds identifiers of the servers
   * @param nowNanos current time
   */
  public void setServers(Collection<BackendServerId> serverIds, long nowNanos) {
    servers.keySet().retainAll(serverIds);
    for (BackendServerId serverId : serverIds) {
      servers.computeIfAbsent(serverId, added -> new ServerHealth(nowNanos));
    }
    while (ejectedCount() > maxEjected()) {
      oldestEjection().ifPresent(health -> health.reinstate(nowNanos));
    }
  }

  /**
   * Discards the outcomes and the ejection of a server, because a new incarnation of it started.
   *
   * @param server the server
   * @param nowNanos current time
   */
  public void resetServer(BackendServerId server, long nowNanos) {
    if (servers.containsKey(server)) {
      servers.put(server, new ServerHealth(nowNanos));
    }
  }

  /**
   * Records the outcome of a request that was not a trial. Outcomes of unknown servers are ignored.
   * Outcomes of ejected servers are ignored too, because they belong to requests that were sent
   * before the ejection.
   *
   * @param server the server
   * @param success whether the server responded correctly; the refusal of an invalid request counts
   *     as a success
   * @param nowNanos current time
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
   * Records the outcome of a trial request: reinstates the server or ejects it again. The outcome
   * is ignored if the server has no outstanding trial.
   *
   * @param server the server
   * @param success whether the server responded correctly
   * @param nowNanos current time
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
   * Returns whether a server may get a request.
   *
   * @param server the server
   * @param nowNanos current time
   * @return {@code ALLOWED}, also for an unknown server; {@code TRIAL} if {@link #tryStartTrial}
   *     must be called before the request is sent; or {@code EXCLUDED}
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
   * @param nowNanos current time
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
   * Returns the number of ejected servers, including those with an outstanding trial.
   *
   * @return the number of servers
   */
  public int ejectedCount() {
    return (int) servers.values().stream().filter(ServerHealth::isEjected).count();
  }

  /**
   * Returns the maximum number of servers that may be ejected at a time.
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

  /** Compares the success rate of a server with that of all other servers that are not ejected. */
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
