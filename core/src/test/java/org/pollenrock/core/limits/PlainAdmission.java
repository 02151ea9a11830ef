package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * The rules of {@link AdmissionQueue} in their simplest form: lists that are searched in full. Tags
 * of waiting requests are computed anew for every decision.
 */
final class PlainAdmission {
  private final AdmissionSettings settings;
  private final List<AdmissionRequest> waiting = new ArrayList<>();
  private final Map<Priority, Map<CustomerId, Double>> finish = new HashMap<>();
  private final Map<Priority, Double> virtualTime = new HashMap<>();
  private final Map<Priority, List<CustomerId>> arrivals = new HashMap<>();
  private final List<Long> evicted = new ArrayList<>();
  private int running;
  private int slots;

  PlainAdmission(AdmissionSettings settings, int slots) {
    this.settings = settings;
    this.slots = slots;
    for (Priority priority : Priority.values()) {
      forget(priority);
    }
  }

  private void forget(Priority priority) {
    finish.put(priority, new HashMap<>());
    virtualTime.put(priority, 0.0);
    arrivals.put(priority, new ArrayList<>());
  }

  private List<AdmissionRequest> of(Priority priority) {
    return waiting.stream().filter(request -> request.priority() == priority).toList();
  }

  private List<AdmissionRequest> of(Priority priority, CustomerId customer) {
    return of(priority).stream().filter(request -> request.customer().equals(customer)).toList();
  }

  private List<CustomerId> customers(Priority priority) {
    return arrivals.get(priority).stream()
        .filter(customer -> !of(priority, customer).isEmpty())
        .toList();
  }

  private double start(Priority priority, CustomerId customer) {
    double finished = finish.get(priority).getOrDefault(customer, 0.0);
    return Math.max(virtualTime.get(priority), finished);
  }

  private double end(Priority priority, CustomerId customer) {
    List<AdmissionRequest> own = of(priority, customer);
    long cost = own.stream().mapToLong(AdmissionRequest::cost).sum();
    return start(priority, customer) + cost / own.getLast().weight();
  }

  private AdmissionRequest last(Priority priority) {
    CustomerId chosen = null;
    for (CustomerId customer : customers(priority)) {
      if (chosen == null || end(priority, customer) >= end(priority, chosen)) {
        chosen = customer;
      }
    }
    return of(priority, chosen).getLast();
  }

  /** Returns whether the request is queued. */
  boolean offer(AdmissionRequest request) {
    long own =
        waiting.stream().filter(queued -> queued.customer().equals(request.customer())).count();
    int usable = usable(request.priority());
    if (usable <= 0 || own >= settings.maxQueuedPerCustomer()) {
      return false;
    }
    if (waiting.size() >= settings.maxQueued() && !evictFor(request)) {
      return false;
    }
    if (!arrivals.get(request.priority()).contains(request.customer())) {
      arrivals.get(request.priority()).add(request.customer());
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
      double present = end(lowest, victim.customer());
      waiting.add(request);
      double added = end(lowest, request.customer());
      waiting.remove(request);
      if (added >= present) {
        return false;
      }
    }
    remove(victim);
    evicted.add(victim.id());
    return true;
  }

  List<Long> poll(long now, List<Long> refused) {
    refused.addAll(evicted);
    evicted.clear();
    waiting.stream()
        .filter(request -> request.latestStartNanos() < now)
        .sorted(
            Comparator.comparingLong(AdmissionRequest::latestStartNanos)
                .thenComparingLong(AdmissionRequest::id))
        .toList()
        .forEach(
            late -> {
              remove(late);
              refused.add(late.id());
            });
    List<Long> dispatched = new ArrayList<>();
    for (Priority priority : Priority.values()) {
      while (!of(priority).isEmpty() && running < usable(priority)) {
        dispatched.add(dispatch(priority));
      }
    }
    return dispatched;
  }

  private long dispatch(Priority priority) {
    CustomerId chosen = null;
    for (CustomerId customer : customers(priority)) {
      if (chosen == null || start(priority, customer) < start(priority, chosen)) {
        chosen = customer;
      }
    }
    double start = start(priority, chosen);
    double weight = of(priority, chosen).getLast().weight();
    AdmissionRequest head = of(priority, chosen).getFirst();
    virtualTime.put(priority, start);
    finish.get(priority).put(chosen, start + head.cost() / weight);
    running++;
    remove(head);
    return head.id();
  }

  void remove(AdmissionRequest request) {
    waiting.remove(request);
    if (of(request.priority()).isEmpty()) {
      forget(request.priority());
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

  private int usable(Priority priority) {
    return priority == Priority.BATCH ? slots - settings.urgentReserve() : slots;
  }
}
