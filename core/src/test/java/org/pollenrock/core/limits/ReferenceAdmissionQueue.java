package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * Reference implementation of {@link AdmissionQueue} for tests. It searches unsorted lists and
 * recomputes the tags of the waiting requests for every decision. It does not estimate waits.
 */
final class ReferenceAdmissionQueue {
  private final AdmissionSettings settings;
  private final List<AdmissionRequest> waiting = new ArrayList<>();
  private final Map<Priority, Map<CustomerId, Double>> finishTags = new HashMap<>();
  private final Map<Priority, Double> virtualTime = new HashMap<>();
  private final Map<Priority, List<CustomerId>> customersByArrival = new HashMap<>();
  private final List<Long> evicted = new ArrayList<>();
  private int running;
  private int slots;

  ReferenceAdmissionQueue(AdmissionSettings settings, int slots) {
    this.settings = settings;
    this.slots = slots;
    for (Priority priority : Priority.values()) {
      reset(priority);
    }
  }

  private void reset(Priority priority) {
    finishTags.put(priority, new HashMap<>());
    virtualTime.put(priority, 0.0);
    customersByArrival.put(priority, new ArrayList<>());
  }

  private List<AdmissionRequest> waitingRequests(Priority priority) {
    return waiting.stream().filter(request -> request.priority() == priority).toList();
  }

  private List<AdmissionRequest> waitingRequests(Priority priority, CustomerId customer) {
    return waitingRequests(priority).stream()
        .filter(request -> request.customer().equals(customer))
        .toList();
  }

  private List<CustomerId> waitingCustomers(Priority priority) {
    return customersByArrival.get(priority).stream()
        .filter(customer -> !waitingRequests(priority, customer).isEmpty())
        .toList();
  }

  private double startTag(Priority priority, CustomerId customer) {
    double lastFinishTag = finishTags.get(priority).getOrDefault(customer, 0.0);
    return Math.max(virtualTime.get(priority), lastFinishTag);
  }

  private double tailFinishTag(Priority priority, CustomerId customer) {
    List<AdmissionRequest> own = waitingRequests(priority, customer);
    long cost = own.stream().mapToLong(AdmissionRequest::cost).sum();
    return startTag(priority, customer) + cost / own.getLast().weight();
  }

  private AdmissionRequest last(Priority priority) {
    CustomerId chosen = null;
    for (CustomerId customer : waitingCustomers(priority)) {
      if (chosen == null || tailFinishTag(priority, customer) >= tailFinishTag(priority, chosen)) {
        chosen = customer;
      }
    }
    return waitingRequests(priority, chosen).getLast();
  }

  /** Queues the request, or returns false if it is refused. */
  boolean offer(AdmissionRequest request) {
    long own =
        waiting.stream().filter(queued -> queued.customer().equals(request.customer())).count();
    int usable = usableSlots(request.priority());
    if (usable <= 0 || own >= settings.maxQueuedPerCustomer()) {
      return false;
    }
    if (waiting.size() >= settings.maxQueued() && !evictFor(request)) {
      return false;
    }
    if (!customersByArrival.get(request.priority()).contains(request.customer())) {
      customersByArrival.get(request.priority()).add(request.customer());
    }
    waiting.add(request);
    return true;
  }

  private boolean evictFor(AdmissionRequest request) {
    Priority lowest =
        waiting.stream().map(AdmissionRequest::priority).max(Comparator.naturalOrder()).get();
    if (lowest.compareTo(request.priority()) < 0) {
      return false;
    }
    AdmissionRequest victim = last(lowest);
    if (lowest == request.priority()) {
      double currentTag = tailFinishTag(lowest, victim.customer());
      waiting.add(request);
      double newTag = tailFinishTag(lowest, request.customer());
      waiting.remove(request);
      if (newTag >= currentTag) {
        return false;
      }
    }
    remove(victim);
    evicted.add(victim.id());
    return true;
  }

  /** Adds the ids of refused requests to the list and returns those of dispatched requests. */
  List<Long> poll(long now, List<Long> refused) {
    refused.addAll(evicted);
    evicted.clear();
    waiting.stream()
        .filter(request -> request.latestDispatchNanos() < now)
        .sorted(
            Comparator.comparingLong(AdmissionRequest::latestDispatchNanos)
                .thenComparingLong(AdmissionRequest::id))
        .toList()
        .forEach(
            late -> {
              remove(late);
              refused.add(late.id());
            });
    List<Long> dispatched = new ArrayList<>();
    for (Priority priority : Priority.values()) {
      while (!waitingRequests(priority).isEmpty() && running < usableSlots(priority)) {
        dispatched.add(dispatch(priority));
      }
    }
    return dispatched;
  }

  private long dispatch(Priority priority) {
    CustomerId chosen = null;
    for (CustomerId customer : waitingCustomers(priority)) {
      if (chosen == null || startTag(priority, customer) < startTag(priority, chosen)) {
        chosen = customer;
      }
    }
    double start = startTag(priority, chosen);
    double weight = waitingRequests(priority, chosen).getLast().weight();
    AdmissionRequest head = waitingRequests(priority, chosen).getFirst();
    virtualTime.put(priority, start);
    finishTags.get(priority).put(chosen, start + head.cost() / weight);
    running++;
    remove(head);
    return head.id();
  }

  void remove(AdmissionRequest request) {
    waiting.remove(request);
    if (waitingRequests(request.priority()).isEmpty()) {
      reset(request.priority());
    }
  }

  List<AdmissionRequest> waiting() {
    return List.copyOf(waiting);
  }

  void finishOne() {
    running--;
  }

  void setSlots(int newSlots) {
    slots = newSlots;
  }

  private int usableSlots(Priority priority) {
    return priority == Priority.BATCH ? slots - settings.reservedSlots() : slots;
  }
}
