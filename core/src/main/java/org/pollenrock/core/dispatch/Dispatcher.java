package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.weights.WeightsTargets;

/**
 * Sends requests to servers, lets them wait while all are busy, and refuses what can't be served.
 */
public final class Dispatcher {
  private final Fleet fleet;
  private final ServerSelector selector;
  private final WeightsTargets weightsTargets;
  private final RetryAllowanceSettings allowanceSettings;
  private final long processStartNanos;
  private final Map<String, DispatchQueue> queues = new HashMap<>();
  private final Map<String, RetryAllowance> retryAllowances = new HashMap<>();
  private int instanceCount = 1;

  /**
   * Creates a dispatcher.
   *
   * @param fleet the servers
   * @param selector chooses among them
   * @param targets named versions of weights
   * @param allowanceSettings retry budget of each service
   * @param startedNanos start of this process
   */
  public Dispatcher(
      Fleet fleet,
      ServerSelector selector,
      WeightsTargets targets,
      RetryAllowanceSettings allowanceSettings,
      long startedNanos) {
    this.fleet = fleet;
    this.selector = selector;
    this.weightsTargets = targets;
    this.allowanceSettings = allowanceSettings;
    this.processStartNanos = startedNanos;
  }

  /**
   * Takes a new request.
   *
   * @param request the request
   * @param nowNanos current time
   * @return where it goes
   */
  public DispatchResult submit(DispatchRequest request, long nowNanos) {
    retryAllowance(request.service()).recordRequest(nowNanos);
    return dispatch(request, Set.of(), nowNanos);
  }

  /**
   * Takes a request again after a failed send.
   *
   * @param request the request
   * @param tried servers that failed it
   * @param counted whether the failed send counts against the retry budget
   * @param nowNanos current time
   * @return where it goes
   */
  public DispatchResult resubmit(
      DispatchRequest request, Set<String> tried, boolean counted, long nowNanos) {
    if (counted && !retryAllowance(request.service()).tryResend(nowNanos)) {
      return new DispatchResult.Refused(DispatchResult.Cause.RETRY_BUDGET);
    }
    return dispatch(request, tried, nowNanos);
  }

  /**
   * Sends waiting requests of a service for which a server is free.
   *
   * @param service the service
   * @param nowNanos current time
   * @return the requests with their servers; each was taken out of the queue
   */
  public List<DispatchResult.Released> dispatchWaiting(String service, long nowNanos) {
    DispatchQueue queue = queues.get(service);
    if (queue == null || queue.size() == 0) {
      return List.of();
    }
    List<DispatchResult.Released> released = new ArrayList<>();
    for (QueueEntry waiting : queue.entriesInOrder()) {
      Selection selection = selectServer(waiting.request(), waiting.triedServers(), nowNanos);
      if (selection instanceof Selection.Chosen chosen) {
        queue.remove(waiting);
        chosen.backend().recordRequestStart(chosen.unreadTokens(), nowNanos);
        released.add(new DispatchResult.Released(waiting, chosen));
        continue;
      }
      if (waiting.request().prompt().isEmpty()) {
        break;
      }
    }
    return released;
  }

  /**
   * Takes out waiting requests whose time is up.
   *
   * @param nowNanos current time
   * @return the requests, to be refused
   */
  public List<QueueEntry> removeExpired(long nowNanos) {
    List<QueueEntry> expired = new ArrayList<>();
    queues.values().forEach(queue -> expired.addAll(queue.removeExpired(nowNanos)));
    return expired;
  }

  /**
   * Takes a waiting request out because its caller left.
   *
   * @param waiting the request
   */
  public void cancel(QueueEntry waiting) {
    DispatchQueue queue = queues.get(waiting.request().service());
    if (queue != null) {
      queue.remove(waiting);
    }
  }

  /**
   * Sets the number of instances that share the retry budgets and the trials of failing servers.
   *
   * @param count the number; at least 1
   */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
    retryAllowances.values().forEach(allowance -> allowance.setInstanceCount(instanceCount));
    selector.setInstanceCount(instanceCount);
  }

  /**
   * Services for which requests wait.
   *
   * @return names of the services
   */
  public List<String> servicesWithWaitingRequests() {
    return queues.entrySet().stream()
        .filter(queue -> queue.getValue().size() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Number of requests that wait.
   *
   * @return the number over all services
   */
  public int waitingRequests() {
    return queues.values().stream().mapToInt(DispatchQueue::size).sum();
  }

  /**
   * Further sends that the retry budgets leave.
   *
   * @param nowNanos current time
   * @return the number for the service that has least; 0 before any request
   */
  public int remainingResends(long nowNanos) {
    return retryAllowances.values().stream()
        .mapToInt(allowance -> allowance.remainingResends(nowNanos))
        .min()
        .orElse(0);
  }

  private DispatchResult dispatch(DispatchRequest request, Set<String> tried, long nowNanos) {
    DispatchQueue queue = queues.computeIfAbsent(request.service(), service -> new DispatchQueue());
    List<Backend> servers = fleet.usableServers(request.service());
    return switch (selectServer(request, tried, nowNanos)) {
      case Selection.Chosen chosen -> {
        chosen.backend().recordRequestStart(chosen.unreadTokens(), nowNanos);
        yield new DispatchResult.Sent(chosen);
      }
      case Selection.NoServer() -> new DispatchResult.Refused(DispatchResult.Cause.NO_SERVER);
      case Selection.AllBusy() -> {
        int slots = servers.stream().mapToInt(Backend::slots).sum();
        yield AdmissionPolicy.mayQueue(request, queue, slots)
            ? new DispatchResult.Queued(
                queue.add(request, tried, AdmissionPolicy.queueDeadlineNanos(request, nowNanos)))
            : new DispatchResult.Refused(DispatchResult.Cause.QUEUE_FULL);
      }
    };
  }

  private Selection selectServer(DispatchRequest request, Set<String> tried, long nowNanos) {
    WeightsRequirement wanted =
        request
            .prompt()
            .map(prompt -> weightsTargets.requirement(prompt.model(), nowNanos))
            .orElse(WeightsRequirement.NONE);
    return selector.select(
        request, fleet.usableServers(request.service()), tried, wanted, nowNanos);
  }

  private RetryAllowance retryAllowance(String service) {
    return retryAllowances.computeIfAbsent(
        service,
        name -> {
          RetryAllowance allowance = new RetryAllowance(allowanceSettings, processStartNanos);
          allowance.setInstanceCount(instanceCount);
          return allowance;
        });
  }
}
