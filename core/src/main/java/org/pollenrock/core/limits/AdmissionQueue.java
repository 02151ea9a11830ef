package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * Gives slots to waiting requests: strictly by class, and fairly by customer weight within a class.
 *
 * <p>{@code BATCH} requests leave the reserve of slots free. A request whose deadline cannot be met
 * is refused when it arrives, or as soon as that becomes certain, so that slots are spent on
 * requests that still can. When the queue is full, the request that would be dispatched last gives
 * way: first one of the lowest class, and within a class one of the customer furthest ahead of its
 * fair share.
 *
 * <p>Every request gets exactly one final decision: {@link #offer} refuses or queues it, and {@link
 * #poll} dispatches or refuses those that wait. The router calls {@code poll} after each offer,
 * finish and change of slots, and at least every few milliseconds while requests wait.
 */
public final class AdmissionQueue {
  private static final Priority[] PRIORITIES = Priority.values();

  private final AdmissionSettings settings;
  private final ServiceTimes serviceTimes;
  private final Map<Priority, FairQueue> queuesByPriority = new EnumMap<>(Priority.class);
  private final Map<Long, QueuedRequest> waiting = new HashMap<>();
  private final TreeSet<AdmissionRequest> waitingByLatestDispatch =
      new TreeSet<>(
          Comparator.comparingLong(AdmissionRequest::latestDispatchNanos)
              .thenComparingLong(AdmissionRequest::id));
  private final Map<CustomerId, Integer> waitingPerCustomer = new HashMap<>();
  private final Map<Long, RunningRequest> running = new HashMap<>();
  private final List<AdmissionDecision> evictions = new ArrayList<>();
  private int slots;

  private record RunningRequest(Priority priority, long dispatchNanos) {}

  /**
   * Creates an empty queue.
   *
   * @param settings bounds
   * @param slots requests that may run at the same time, not negative
   * @throws IllegalArgumentException when the number of slots is negative
   */
  public AdmissionQueue(AdmissionSettings settings, int slots) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.serviceTimes = new ServiceTimes(settings.initialServiceNanos());
    for (Priority priority : PRIORITIES) {
      queuesByPriority.put(priority, new FairQueue());
    }
    setSlots(slots);
  }

  /**
   * Changes the number of slots. Running requests keep theirs when there are fewer.
   *
   * @param newSlots requests that may run at the same time, not negative
   * @throws IllegalArgumentException when the number is negative
   */
  public void setSlots(int newSlots) {
    if (newSlots < 0) {
      throw new IllegalArgumentException("slots must not be negative: " + newSlots);
    }
    slots = newSlots;
  }

  /**
   * Queues a request, or refuses it.
   *
   * @param request the request
   * @param nowNanos time now
   * @return queue or refuse
   * @throws IllegalArgumentException when a request of this number waits or runs
   */
  public AdmissionDecision offer(AdmissionRequest request, long nowNanos) {
    if (waiting.containsKey(request.id()) || running.containsKey(request.id())) {
      throw new IllegalArgumentException("request is known already: " + request.id());
    }
    if (usableSlots(request.priority()) <= 0) {
      return refuse(request, ErrorCode.OVERLOADED, "no slot serves its class");
    }
    long wait = expectedWaitNanos(request);
    if (request.latestDispatchNanos() < nowNanos + wait) {
      return refuse(
          request, ErrorCode.DEADLINE_UNREACHABLE, "its expected wait exceeds its deadline");
    }
    int own = waitingPerCustomer.getOrDefault(request.customer(), 0);
    if (own >= settings.maxQueuedPerCustomer()) {
      return refuse(request, ErrorCode.OVERLOADED, "its customer has too many waiting requests");
    }
    if (!makeRoomFor(request)) {
      return refuse(request, ErrorCode.OVERLOADED, "the queue is full");
    }
    add(request);
    return new AdmissionDecision.Queue(request.id(), wait);
  }

  /**
   * Decides what can be decided now.
   *
   * @param nowNanos time now
   * @return refusals of requests that had to give way or can no longer meet their deadline, then
   *     dispatches in order
   */
  public List<AdmissionDecision> poll(long nowNanos) {
    List<AdmissionDecision> decisions = new ArrayList<>(evictions);
    evictions.clear();
    refuseLate(nowNanos, decisions);
    for (Priority priority : PRIORITIES) {
      FairQueue queue = queuesByPriority.get(priority);
      while (!queue.isEmpty() && freeSlots(priority) > 0) {
        AdmissionRequest request = queue.dispatch().request();
        removeWaiting(request);
        running.put(request.id(), new RunningRequest(priority, nowNanos));
        decisions.add(new AdmissionDecision.Dispatch(request.id()));
      }
    }
    return decisions;
  }

  /**
   * Frees the slot of a dispatched request.
   *
   * @param id number of the request
   * @param nowNanos time now
   * @return whether it had a slot
   */
  public boolean finish(long id, long nowNanos) {
    RunningRequest finished = running.remove(id);
    if (finished == null) {
      return false;
    }
    serviceTimes.addSample(finished.priority(), Math.max(0, nowNanos - finished.dispatchNanos()));
    return true;
  }

  /**
   * Removes a waiting request whose caller left. It is not dispatched later.
   *
   * @param id number of the request
   * @return whether it waited
   */
  public boolean cancel(long id) {
    QueuedRequest queued = waiting.get(id);
    if (queued == null) {
      return false;
    }
    remove(queued);
    return true;
  }

  /**
   * Number of waiting requests.
   *
   * @return the number
   */
  public int waitingCount() {
    return waiting.size();
  }

  /**
   * Number of waiting requests of one class.
   *
   * @param priority the class
   * @return the number
   */
  public int waitingCount(Priority priority) {
    return queuesByPriority.get(priority).size();
  }

  /**
   * Number of dispatched requests that have not finished.
   *
   * @return the number
   */
  public int runningCount() {
    return running.size();
  }

  private int usableSlots(Priority priority) {
    return priority == Priority.BATCH ? slots - settings.reservedSlots() : slots;
  }

  private int freeSlots(Priority priority) {
    return usableSlots(priority) - running.size();
  }

  // Requests of lower classes do not count: they are dispatched after this one.
  private long expectedWaitNanos(AdmissionRequest request) {
    double ahead = 0;
    double workNanos = 0;
    for (Priority higher : PRIORITIES) {
      if (higher.compareTo(request.priority()) >= 0) {
        break;
      }
      ahead += queuesByPriority.get(higher).size();
      workNanos += queuesByPriority.get(higher).size() * serviceTimes.meanNanos(higher);
    }
    double sameClass = queuesByPriority.get(request.priority()).estimateRequestsAhead(request);
    ahead += sameClass;
    if (ahead < freeSlots(request.priority())) {
      return 0;
    }
    double ownMean = serviceTimes.meanNanos(request.priority());
    workNanos += (sameClass + 1) * ownMean;
    return (long) (workNanos / usableSlots(request.priority()));
  }

  private boolean makeRoomFor(AdmissionRequest request) {
    if (waiting.size() < settings.maxQueued()) {
      return true;
    }
    for (int i = PRIORITIES.length - 1; i >= request.priority().ordinal(); i--) {
      FairQueue queue = queuesByPriority.get(PRIORITIES[i]);
      if (queue.isEmpty()) {
        continue;
      }
      boolean lower = i > request.priority().ordinal();
      if (lower || queue.precedesLast(request)) {
        evict(queue.last());
        return true;
      }
      return false;
    }
    return false;
  }

  private void evict(QueuedRequest queued) {
    remove(queued);
    evictions.add(
        refuse(queued.request(), ErrorCode.OVERLOADED, "it gave way to another in a full queue"));
  }

  private void refuseLate(long nowNanos, List<AdmissionDecision> decisions) {
    while (!waitingByLatestDispatch.isEmpty()
        && waitingByLatestDispatch.first().latestDispatchNanos() < nowNanos) {
      AdmissionRequest late = waitingByLatestDispatch.first();
      remove(waiting.get(late.id()));
      decisions.add(
          refuse(late, ErrorCode.DEADLINE_UNREACHABLE, "its deadline came too close in the queue"));
    }
  }

  private void add(AdmissionRequest request) {
    waiting.put(request.id(), queuesByPriority.get(request.priority()).add(request));
    waitingPerCustomer.merge(request.customer(), 1, Integer::sum);
    if (request.latestDispatchNanos() != AdmissionRequest.NO_DEADLINE) {
      waitingByLatestDispatch.add(request);
    }
  }

  private void remove(QueuedRequest queued) {
    queuesByPriority.get(queued.request().priority()).remove(queued);
    removeWaiting(queued.request());
  }

  private void removeWaiting(AdmissionRequest request) {
    waiting.remove(request.id());
    waitingPerCustomer.computeIfPresent(
        request.customer(), (customer, count) -> count == 1 ? null : count - 1);
    waitingByLatestDispatch.remove(request);
  }

  private static AdmissionDecision.Refuse refuse(
      AdmissionRequest request, ErrorCode code, String reason) {
    String message = "Request of class " + request.priority() + " was not run: " + reason;
    return new AdmissionDecision.Refuse(
        request.id(), new RequestError.Refusal(code, Step.ADMIT, Optional.empty(), message));
  }
}
