package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Queues of all services, with what other instances announce of theirs. */
public final class ServiceQueues {
  private record ServiceQueue(DispatchQueue requests, RetrySchedule retries) {}

  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private boolean rationed = true;

  ServiceQueues() {}

  /**
   * Sets whether the room of the services is rationed among customers. If it is not, requests wait
   * in the order of their urgency and arrival, and nothing is announced.
   *
   * @param newRationed whether the configuration in force limits customers
   */
  public void setRationed(boolean newRationed) {
    if (rationed != newRationed) {
      rationed = newRationed;
      queues.values().forEach(queue -> queue.requests().setRationed(newRationed));
    }
  }

  /** Returns the queue of a service, which is created if there is none. */
  DispatchQueue queue(String service) {
    return serviceQueue(service).requests();
  }

  /** Removes the waiting requests of a service that meet a condition. */
  List<QueueEntry> removeIf(String service, Predicate<QueueEntry> condition, long nowNanos) {
    ServiceQueue queue = queues.get(service);
    return queue == null ? List.of() : queue.requests().removeIf(condition, nowNanos);
  }

  /** Removes the waiting requests whose queue deadline has passed. */
  List<QueueEntry> removeExpired(long nowNanos) {
    List<QueueEntry> expired = new ArrayList<>();
    queues.values().forEach(queue -> expired.addAll(queue.requests().removeExpired(nowNanos)));
    return expired;
  }

  /**
   * Removes the waiting requests that are not expected to leave the queue before their deadlines,
   * and lets long prompts that have waited for half of their time join the short ones.
   *
   * @param nowNanos current time
   * @return the removed entries, whose requests the caller of this method has to refuse
   */
  public List<QueueEntry> removeHopeless(long nowNanos) {
    List<QueueEntry> hopeless = new ArrayList<>();
    for (ServiceQueue queue : queues.values()) {
      if (queue.requests().size() > 0) {
        queue.requests().promoteLongPrompts(nowNanos);
        hopeless.addAll(queue.requests().removeHopeless(nowNanos));
      }
    }
    return hopeless;
  }

  /**
   * Returns the work that waits at this instance and that is to be announced to others.
   *
   * @param nowNanos current time
   * @return one element for each service and urgency with waiting work
   */
  public List<WaitingWork> waitingWork(long nowNanos) {
    if (!rationed) {
      return List.of();
    }
    List<WaitingWork> waiting = new ArrayList<>();
    queues.forEach(
        (service, queue) -> {
          if (queue.requests().size() > 0) {
            waiting.addAll(queue.requests().backlog().waitingWork(service, nowNanos));
          }
        });
    return waiting;
  }

  /**
   * Applies what another instance announces of its waiting work. Ignored for a service that this
   * instance has no requests for.
   *
   * @param peer identity of the instance
   * @param waiting its waiting work
   * @param nowNanos current time
   */
  public void applyPeerWaiting(String peer, WaitingWork waiting, long nowNanos) {
    ServiceQueue queue = queues.get(waiting.service());
    if (queue != null) {
      queue.requests().backlog().applyPeerWaiting(peer, waiting, nowNanos);
    }
  }

  /**
   * Returns the number of instances that announced waiting work lately.
   *
   * @param nowNanos current time
   * @return the largest number for any service and urgency
   */
  public int waitingPeers(long nowNanos) {
    return queues.values().stream()
        .mapToInt(queue -> queue.requests().backlog().waitingPeers(nowNanos))
        .max()
        .orElse(0);
  }

  /**
   * Returns the longest time until all requests of one service and urgency that wait now are sent.
   *
   * @param nowNanos current time
   * @return time in milliseconds; 0 if nothing waits or the time is not known
   */
  public long longestWaitMillis(long nowNanos) {
    return queues.values().stream()
        .mapToLong(queue -> queue.requests().backlog().longestWaitNanos(nowNanos) / 1_000_000)
        .max()
        .orElse(0);
  }

  /** Returns the services that have waiting requests. */
  List<String> servicesWithWaitingRequests() {
    return queues.entrySet().stream()
        .filter(queue -> queue.getValue().requests().size() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of waiting requests of all services. */
  int waitingRequests() {
    return queues.values().stream().mapToInt(queue -> queue.requests().size()).sum();
  }

  /** Returns the delay after which a refused caller should retry, in milliseconds, at least 1. */
  long retryAfterMillis(DispatchRequest request, long nowNanos) {
    return rationed
        ? serviceQueue(request.service()).retries().retryAfterMillis(request, nowNanos)
        : AdmissionPolicy.retryAfterMillis(request, nowNanos);
  }

  private ServiceQueue serviceQueue(String service) {
    return queues.computeIfAbsent(
        service,
        name -> {
          DispatchQueue requests = new DispatchQueue();
          requests.setRationed(rationed);
          return new ServiceQueue(requests, new RetrySchedule(requests.backlog()));
        });
  }
}
