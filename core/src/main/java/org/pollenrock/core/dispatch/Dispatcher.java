package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.membership.UnknownInstances;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.ratelimit.ServerRateLimits;
import org.pollenrock.core.route.Route;
import org.pollenrock.core.weights.WeightsTargets;

/**
 * Assigns requests to servers, queues them while all servers are busy, and refuses requests that
 * can't be served.
 */
public final class Dispatcher {
  /** Retry-After of a request that was refused before it was dispatched, in milliseconds. */
  public static final long EARLY_RETRY_AFTER_MILLIS = 300;

  private final Fleet fleet;
  private final ServerSelector selector;
  private final WeightsTargets weightsTargets;
  private final CrashQuarantine quarantine;
  private final ServerRateLimits rateLimits;
  private final RetryAllowances retryAllowances;
  private final ServiceQueues queues = new ServiceQueues();
  private final Map<String, ResponseTimes> responseTimes = new HashMap<>();
  private int instanceCount;
  private Optional<StopPlan> stopPlan = Optional.empty();

  /**
   * Creates a dispatcher, which assumes many instances until their number is set.
   *
   * @param fleet the known servers
   * @param selector chooses a server for each request
   * @param weightsTargets target versions of the weights
   * @param quarantine requests and parts of prompts that are refused
   * @param rateLimits request rates that servers have named
   * @param allowanceSettings retry budget of each service
   * @param processStartNanos start time of this process
   */
  public Dispatcher(
      Fleet fleet,
      ServerSelector selector,
      WeightsTargets weightsTargets,
      CrashQuarantine quarantine,
      ServerRateLimits rateLimits,
      RetryAllowanceSettings allowanceSettings,
      long processStartNanos) {
    this.fleet = fleet;
    this.selector = selector;
    this.weightsTargets = weightsTargets;
    this.quarantine = quarantine;
    this.rateLimits = rateLimits;
    this.retryAllowances = new RetryAllowances(allowanceSettings, processStartNanos);
    setInstanceCount(UnknownInstances.ASSUMED_COUNT);
  }

  /**
   * Dispatches a new request.
   *
   * @param request the request
   * @param nowNanos current time
   * @return whether the request was sent, queued or refused
   */
  public DispatchResult submit(DispatchRequest request, long nowNanos) {
    retryAllowances.of(request.service()).recordRequest(nowNanos);
    queues.queue(request.service()).recordRequest(request, nowNanos);
    if (isQuarantined(request, nowNanos)) {
      return new DispatchResult.Refused(DispatchResult.Cause.QUARANTINED);
    }
    if (isTooLateToSend(request, nowNanos)) {
      return new DispatchResult.Refused(DispatchResult.Cause.STOPPING);
    }
    return dispatch(request, Set.of(), false, nowNanos);
  }

  /**
   * Dispatches a request again after a failed send. While all servers are busy or paused it waits,
   * and the retry budget is charged only when it is sent.
   *
   * @param request the request
   * @param triedServers identities of the servers on which the request failed
   * @param chargeRetryBudget whether the failed send counts against the retry budget
   * @param nowNanos current time
   * @return whether the request was sent, queued or refused
   */
  public DispatchResult resubmit(
      DispatchRequest request, Set<String> triedServers, boolean chargeRetryBudget, long nowNanos) {
    if (isQuarantined(request, nowNanos)) {
      return new DispatchResult.Refused(DispatchResult.Cause.QUARANTINED);
    }
    if (isTooLateToSend(request, nowNanos)) {
      return new DispatchResult.Refused(DispatchResult.Cause.STOPPING);
    }
    if (chargeRetryBudget && !retryAllowances.isResendLeft(request.service(), nowNanos)) {
      return new DispatchResult.Refused(DispatchResult.Cause.RETRY_BUDGET);
    }
    return dispatch(request, triedServers, chargeRetryBudget, nowNanos);
  }

  /**
   * Claims another server for a request whose present server is silent but may yet respond. Charges
   * the retry budget, and the request counts towards the load of the claimed server.
   *
   * @param request the request
   * @param triedServers identities of the present server and of those on which the request failed
   * @param nowNanos current time
   * @return the server, to which the caller of this method must send the request; empty if none can
   *     take the request now or the retry budget is used up
   */
  public Optional<Selection.Chosen> claimReplacement(
      DispatchRequest request, Set<String> triedServers, long nowNanos) {
    RetryAllowance allowance = retryAllowances.of(request.service());
    if (isQuarantined(request, nowNanos)
        || isTooLateToSend(request, nowNanos)
        || allowance.remainingResends(nowNanos) == 0) {
      return Optional.empty();
    }
    List<Backend> untried =
        permittedServers(request.service(), nowNanos).stream()
            .filter(server -> !triedServers.contains(server.entry().id()))
            .filter(server -> !server.isMissing())
            .toList();
    if (selectServer(request, untried, Set.of(), nowNanos) instanceof Selection.Chosen chosen
        && allowance.tryResend(nowNanos)) {
      recordSend(request, chosen, false, nowNanos);
      return Optional.of(chosen);
    }
    return Optional.empty();
  }

  /**
   * Removes the waiting requests of a service for which a server is free from the queue and assigns
   * them to servers.
   *
   * @param service name of the service
   * @param nowNanos current time
   * @return the removed requests with their servers
   */
  public List<DispatchResult.Released> dispatchWaiting(String service, long nowNanos) {
    DispatchQueue queue = queues.queue(service);
    if (queue.size() == 0) {
      return List.of();
    }
    List<DispatchResult.Released> released = new ArrayList<>();
    Set<String> busyModels = new HashSet<>();
    for (QueueEntry entry : queue.entriesInOrder()) {
      Optional<String> model = entry.request().prompt().map(Prompt::model);
      if (model.isPresent() && busyModels.contains(model.get())
          || isQuarantined(entry.request(), nowNanos)
          || entry.resend() && !retryAllowances.isResendLeft(service, nowNanos)) {
        continue;
      }
      List<Backend> servers = permittedServers(service, nowNanos);
      Selection selection = selectServer(entry.request(), servers, entry.triedServers(), nowNanos);
      if (selection instanceof Selection.Chosen chosen) {
        queue.dispatch(entry, nowNanos);
        recordSend(entry.request(), chosen, entry.resend(), nowNanos);
        released.add(new DispatchResult.Released(entry, chosen));
        continue;
      }
      if (model.isEmpty()) {
        break;
      }
      // A long prompt may only be too late for these servers, and a resend or a stream that goes on
      // avoids some of them.
      if (entry.triedServers().isEmpty()
          && entry.request().softwareVersion().isEmpty()
          && entry.request().promptTokens() <= Route.SHORT_PROMPT_MAX_TOKENS) {
        busyModels.add(model.get());
      }
    }
    return released;
  }

  /**
   * Removes the waiting requests whose queue deadline has passed.
   *
   * @param nowNanos current time
   * @return the removed entries, whose requests the caller of this method has to refuse
   */
  public List<QueueEntry> removeExpired(long nowNanos) {
    return queues.removeExpired(nowNanos);
  }

  /**
   * Removes the waiting requests of a service that are quarantined or have a quarantined part.
   *
   * @param service name of the service
   * @param nowNanos current time
   * @return the removed entries, whose requests the caller of this method has to refuse
   */
  public List<QueueEntry> removeQuarantined(String service, long nowNanos) {
    return quarantine.hasNoStrikes()
        ? List.of()
        : queues.removeIf(service, entry -> isQuarantined(entry.request(), nowNanos), nowNanos);
  }

  /**
   * Removes the waiting requests of a service whose responses might not be complete before this
   * instance stops.
   *
   * @param service name of the service
   * @param nowNanos current time
   * @return the removed entries, whose requests the caller of this method has to refuse
   */
  public List<QueueEntry> removeTooLate(String service, long nowNanos) {
    return stopPlan.isEmpty()
        ? List.of()
        : queues.removeIf(service, entry -> isTooLateToSend(entry.request(), nowNanos), nowNanos);
  }

  /**
   * Removes the waiting requests of a service that no server may take, because all that could have
   * named request rates that are used up or have asked for a pause.
   *
   * @param service name of the service
   * @param nowNanos current time
   * @return the removed entries, whose requests the caller of this method has to refuse
   */
  public List<QueueEntry> removeUnpermitted(String service, long nowNanos) {
    DispatchQueue queue = queues.queue(service);
    if (queue.size() == 0) {
      return List.of();
    }
    List<Backend> servers = fleet.usableServers(service);
    List<Backend> permitted = permittedServers(service, nowNanos);
    if (permitted.size() == servers.size()) {
      return List.of();
    }
    return queue.removeIf(entry -> isUnpermitted(entry.request(), servers, permitted), nowNanos);
  }

  /**
   * Removes the waiting requests of a service that has no server any more, and those that continue
   * a stream for which it has none.
   *
   * @param service name of the service
   * @param nowNanos current time
   * @return the removed entries, whose requests the caller of this method has to refuse
   */
  public List<QueueEntry> removeUnserved(String service, long nowNanos) {
    if (queues.queue(service).size() == 0) {
      return List.of();
    }
    List<Backend> servers = fleet.usableServers(service);
    return queues.removeIf(
        service, entry -> servers.stream().noneMatch(entry.request()::accepts), nowNanos);
  }

  /**
   * Returns why no server may take a request that servers could take.
   *
   * @param request the request
   * @param nowNanos current time
   * @return the cause of the refusal
   */
  public DispatchResult.Cause unpermittedCause(DispatchRequest request, long nowNanos) {
    return fleet.usableServers(request.service()).stream()
            .filter(server -> serves(server, request))
            .anyMatch(server -> server.notices().remainingHoldNanos(nowNanos) > 0)
        ? DispatchResult.Cause.ON_HOLD
        : DispatchResult.Cause.RATE_LIMITED;
  }

  /**
   * Returns the delay after which a refused caller should retry. While this instance stops, others
   * can serve the caller at once; if there are none, it can't tell when it is back.
   *
   * @param request the request; empty if it was refused before it was dispatched
   * @param cause reason for the refusal
   * @param nowNanos current time
   * @return delay in milliseconds, at least 1
   */
  public long retryAfterMillis(
      Optional<DispatchRequest> request, DispatchResult.Cause cause, long nowNanos) {
    if (cause == DispatchResult.Cause.STOPPING && instanceCount > 1) {
      return StopPlan.RETRY_AFTER_MILLIS;
    }
    return request
        .map(dispatched -> retryAfterMillis(dispatched, nowNanos))
        .orElse(EARLY_RETRY_AFTER_MILLIS);
  }

  /**
   * Returns the delay after which a refused caller should retry: no sooner than a server accepts
   * requests, if all that could take the request have asked for a pause, and when room is expected
   * while requests wait.
   *
   * @param request the request
   * @param nowNanos current time
   * @return delay in milliseconds, at least 1
   */
  public long retryAfterMillis(DispatchRequest request, long nowNanos) {
    long holdNanos =
        fleet.usableServers(request.service()).stream()
            .filter(server -> serves(server, request))
            .mapToLong(server -> server.notices().remainingHoldNanos(nowNanos))
            .min()
            .orElse(0);
    if (holdNanos > 0) {
      return AdmissionPolicy.afterHoldMillis(request, holdNanos);
    }
    return queues.retryAfterMillis(request, nowNanos);
  }

  /**
   * Limits all further sends, also of waiting requests and after failed sends, to those whose
   * responses are expected before this instance stops.
   *
   * @param plan the times of the stop
   */
  public void planStop(StopPlan plan) {
    stopPlan = Optional.of(plan);
  }

  /**
   * Records that a request has its complete response.
   *
   * @param request the request
   * @param nowNanos current time
   */
  public void recordCompletion(DispatchRequest request, long nowNanos) {
    responseTimes
        .computeIfAbsent(request.service(), service -> new ResponseTimes())
        .record(nowNanos - request.arrivalNanos());
    queues.queue(request.service()).backlog().recordCompletion(request, nowNanos);
  }

  /**
   * Returns the queues of the services.
   *
   * @return the queues
   */
  public ServiceQueues queues() {
    return queues;
  }

  /**
   * Returns the number of instances that share budgets and trial requests.
   *
   * @return the number; a large one while it is not known
   */
  public int instanceCount() {
    return instanceCount;
  }

  /**
   * Removes a waiting request from the queue because its caller disconnected.
   *
   * @param entry entry of the request
   * @param nowNanos current time
   */
  public void cancel(QueueEntry entry, long nowNanos) {
    queues.queue(entry.request().service()).remove(entry, nowNanos);
  }

  /**
   * Sets the number of instances that share the retry budgets and the trial requests to failing
   * servers. An instance that may not know all others passes {@link
   * UnknownInstances#ASSUMED_COUNT}.
   *
   * @param count number of instances; at least 1
   */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
    retryAllowances.setInstanceCount(instanceCount);
    selector.setInstanceCount(instanceCount);
  }

  /**
   * Returns the services that have waiting requests.
   *
   * @return names of the services
   */
  public List<String> servicesWithWaitingRequests() {
    return queues.servicesWithWaitingRequests();
  }

  /**
   * Returns the number of waiting requests of all services.
   *
   * @return the number of requests
   */
  public int waitingRequests() {
    return queues.waitingRequests();
  }

  /**
   * Returns the resends that the retry budgets still allow.
   *
   * @param nowNanos current time
   * @return the number for the service with the fewest resends left; 0 before the first request
   */
  public int remainingResends(long nowNanos) {
    return retryAllowances.remainingResends(nowNanos);
  }

  private boolean isTooLateToSend(DispatchRequest request, long nowNanos) {
    if (stopPlan.isEmpty()) {
      return false;
    }
    ResponseTimes times = responseTimes.get(request.service());
    OptionalLong usualNanos = times == null ? OptionalLong.empty() : times.upperBoundNanos();
    return !stopPlan.get().permitsSend(request, usualNanos, nowNanos);
  }

  private boolean isQuarantined(DispatchRequest request, long nowNanos) {
    return quarantine.isQuarantined(request.crashSuspects(), nowNanos);
  }

  private DispatchResult dispatch(
      DispatchRequest request, Set<String> triedServers, boolean resend, long nowNanos) {
    List<Backend> servers = fleet.usableServers(request.service());
    List<Backend> permitted = permittedServers(request.service(), nowNanos);
    if (isUnpermitted(request, servers, permitted)) {
      return new DispatchResult.Refused(unpermittedCause(request, nowNanos));
    }
    return switch (selectServer(request, permitted, triedServers, nowNanos)) {
      case Selection.Chosen chosen -> {
        recordSend(request, chosen, resend, nowNanos);
        yield new DispatchResult.Sent(chosen);
      }
      case Selection.NoServer() -> new DispatchResult.Refused(DispatchResult.Cause.NO_SERVER);
      case Selection.AllBusy() -> {
        int slots = permitted.stream().mapToInt(Backend::slots).sum();
        yield queues
            .queue(request.service())
            .tryAdd(request, triedServers, resend, slots, nowNanos);
      }
    };
  }

  private void recordSend(
      DispatchRequest request, Selection.Chosen chosen, boolean resend, long nowNanos) {
    if (resend) {
      retryAllowances.of(request.service()).tryResend(nowNanos);
    }
    quarantine.recordSend(request.crashSuspects(), nowNanos);
    rateLimits.recordSend(chosen.backend(), nowNanos);
    chosen.backend().notices().recordRequest(nowNanos);
    chosen.backend().recordRequestStart(chosen.delayingTokens(), nowNanos);
  }

  /** Returns the usable servers that have not asked for a pause and are within their rates. */
  private List<Backend> permittedServers(String service, long nowNanos) {
    List<Backend> servers = fleet.usableServers(service);
    for (Backend server : servers) {
      if (server.notices().remainingHoldNanos(nowNanos) > 0) {
        List<Backend> accepting =
            servers.stream().filter(each -> each.notices().permitsSend(nowNanos)).toList();
        return rateLimits.withinRate(accepting, nowNanos);
      }
    }
    return rateLimits.withinRate(servers, nowNanos);
  }

  /** Returns whether servers could take a request, but none of the permitted ones can. */
  private static boolean isUnpermitted(
      DispatchRequest request, List<Backend> servers, List<Backend> permitted) {
    return permitted.size() < servers.size()
        && permitted.stream().noneMatch(server -> serves(server, request))
        && servers.stream().anyMatch(server -> serves(server, request));
  }

  private static boolean serves(Backend server, DispatchRequest request) {
    return (request.prompt().isEmpty() || server.serves(request.prompt().get().model()))
        && request.accepts(server);
  }

  private Selection selectServer(
      DispatchRequest request, List<Backend> servers, Set<String> triedServers, long nowNanos) {
    WeightsRequirement requirement =
        request
            .prompt()
            .map(prompt -> weightsTargets.requirement(prompt.model(), nowNanos))
            .orElse(WeightsRequirement.NONE);
    List<Backend> eligible =
        request.softwareVersion().isEmpty()
            ? servers
            : servers.stream().filter(request::accepts).toList();
    return selector.select(request, eligible, triedServers, requirement, nowNanos);
  }
}
