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
 * Assigns slots to waiting requests, in strict order of their priority class and, within a class,
 * fairly by customer weight. A slot allows one request to run.
 *
 * <p>{@code BATCH} requests never use the reserved slots. A request whose deadline cannot be met is
 * refused on arrival, or as soon as it is certain to miss the deadline, so that slots go to
 * requests that can still meet theirs. When the queue is full, the request that would be dispatched
 * last is refused, whether it is waiting or new: it belongs to the lowest class and, within that
 * class, to the customer furthest ahead of its fair share.
 *
 * <p>Every request that is not cancelled gets exactly one final decision: {@link #offer} refuses or
 * queues it, and {@link #poll} dispatches or refuses queued requests. The router calls {@code poll}
 * after each offer, each finished request and each change of the slots, and at least every few
 * milliseconds while requests wait.
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
   * @param settings limits of the queue and initial service time
   * @param slots number of requests that may run at the same time, not negative
   * @throws IllegalArgumentException when {@code slots} is negative
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
   * Changes the number of slots. When it decreases, running requests keep their slots until they
   * finish.
   *
   * @param newSlots number of requests that may run at the same time, not negative
   * @throws IllegalArgumentException when {@code newSlots} is negative
   */
  public void setSlots(int newSlots) {
    if (newSlots < 0) {
      throw new IllegalArgumentException("slots must not be negative: " + newSlots);
    }
    slots = newSlots;
  }

  /**
   * Queues a request or refuses it. A full queue may evict another request for it; the refusal of
   * the evicted request is returned by the next {@link #poll}.
   *
   * @param request the request
   * @param nowNanos current time
   * @return {@link AdmissionDecision.Queue} or {@link AdmissionDecision.Refuse}
   * @throws IllegalArgumentException when a request with the same id is waiting or running
   */
  public AdmissionDecision offer(AdmissionRequest request, long nowNanos) {
    if (waiting.containsKey(request.id()) || running.containsKey(request.id())) {
      throw new IllegalArgumentException("request is already waiting or running: " + request.id());
    }
    if (usableSlots(request.priority()) <= 0) {
      return refuse(request, ErrorCode.OVERLOADED, "no slot serves its class");
    }
    long expectedWait = expectedWaitNanos(request);
    if (request.latestDispatchNanos() < nowNanos + expectedWait) {
      return refuse(
          request, ErrorCode.DEADLINE_UNREACHABLE, "its expected wait exceeds its deadline");
    }
    int customerWaiting = waitingPerCustomer.getOrDefault(request.customer(), 0);
    if (customerWaiting >= settings.maxQueuedPerCustomer()) {
      return refuse(request, ErrorCode.OVERLOADED, "its customer has too many waiting requests");
    }
    if (!makeRoomFor(request)) {
      return refuse(request, ErrorCode.OVERLOADED, "the queue is full");
    }
    add(request);
    return new AdmissionDecision.Queue(request.id(), expectedWait);
  }

  /**
   * Dispatches waiting requests to free slots and refuses those that can no longer run in time.
   *
   * @param nowNanos current time
   * @return the refusals of requests that were evicted or can no longer meet their deadline,
   *     followed by the dispatched requests in order of dispatch
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
   * Frees the slot of a dispatched request and records its service time.
   *
   * @param id id of the request
   * @param nowNanos current time
   * @return true if the request had a slot
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
   * Removes a waiting request whose caller has disconnected. No later decision follows for it.
   *
   * @param id id of the request
   * @return true if the request was waiting
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
   * Returns the number of waiting requests.
   *
   * @return number of waiting requests
   */
  public int waitingCount() {
    return waiting.size();
  }

  /**
   * Returns the number of waiting requests of one priority class.
   *
   * @param priority priority class
   * @return number of waiting requests of the class
   */
  public int waitingCount(Priority priority) {
    return queuesByPriority.get(priority).size();
  }

  /**
   * Returns the number of running requests, which were dispatched and have not finished.
   *
   * @return number of running requests
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

  // Requests of lower classes are not counted, because they are dispatched after this request.
  private long expectedWaitNanos(AdmissionRequest request) {
    double requestsAhead = 0;
    double workNanos = 0;
    for (Priority higherPriority : PRIORITIES) {
      if (higherPriority.compareTo(request.priority()) >= 0) {
        break;
      }
      requestsAhead += queuesByPriority.get(higherPriority).size();
      workNanos +=
          queuesByPriority.get(higherPriority).size() * serviceTimes.meanNanos(higherPriority);
    }
    double aheadInClass = queuesByPriority.get(request.priority()).estimateRequestsAhead(request);
    requestsAhead += aheadInClass;
    if (requestsAhead < freeSlots(request.priority())) {
      return 0;
    }
    double meanServiceNanos = serviceTimes.meanNanos(request.priority());
    workNanos += (aheadInClass + 1) * meanServiceNanos;
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
      boolean ofLowerClass = i > request.priority().ordinal();
      if (ofLowerClass || queue.precedesLast(request)) {
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
