package org.pollenrock.core.limits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.pollenrock.core.model.CustomerId;

/**
 * Waiting requests of one class in start-time fair order.
 *
 * <p>The virtual time is the start tag of the latest dispatched request. While two customers both
 * wait, what they received per weight differs by at most one request of each.
 */
final class FairQueue {
  /** Number of flows from which those that no longer wait are swept. */
  private static final int SWEEP_MINIMUM = 64;

  private final Map<CustomerId, CustomerFlow> flows = new HashMap<>();
  private final TreeSet<CustomerFlow> flowsByStartTag =
      new TreeSet<>(
          Comparator.comparingDouble(CustomerFlow::start)
              .thenComparingLong(CustomerFlow::sequence));
  private final TreeSet<CustomerFlow> flowsByTailFinishTag =
      new TreeSet<>(
          Comparator.comparingDouble(CustomerFlow::tailFinishTag)
              .thenComparingLong(CustomerFlow::sequence));
  private double virtualTime;
  private double waitingWeight;
  private int size;
  private long flowCounter;
  private int sweepThreshold = SWEEP_MINIMUM;

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  QueuedRequest add(AdmissionRequest request) {
    CustomerFlow flow =
        flows.computeIfAbsent(request.customer(), added -> new CustomerFlow(flowCounter++));
    QueuedRequest added = new QueuedRequest(request, flow);
    detach(flow);
    flow.add(added, virtualTime);
    attach(flow);
    size++;
    return added;
  }

  QueuedRequest dispatch() {
    CustomerFlow flow = flowsByStartTag.first();
    detach(flow);
    virtualTime = flow.start();
    QueuedRequest dispatched = flow.dispatchHead();
    attach(flow);
    afterRemoval();
    return dispatched;
  }

  void remove(QueuedRequest request) {
    CustomerFlow flow = request.flow();
    detach(flow);
    flow.remove(request);
    attach(flow);
    afterRemoval();
  }

  /** Returns the request that would be dispatched last. */
  QueuedRequest last() {
    return flowsByTailFinishTag.last().tail();
  }

  /** Tells whether a new request would be dispatched before the present last one. */
  boolean precedesLast(AdmissionRequest request) {
    CustomerFlow flow = flows.get(request.customer());
    double end =
        flow == null
            ? virtualTime + request.cost() / request.weight()
            : flow.tailFinishTagWith(request, virtualTime);
    return end < flowsByTailFinishTag.last().tailFinishTag();
  }

  /** Estimates how many waiting requests of the class are dispatched before a new one. */
  double estimateRequestsAhead(AdmissionRequest request) {
    CustomerFlow flow = flows.get(request.customer());
    boolean waiting = flow != null && !flow.isEmpty();
    int own = waiting ? flow.size() : 0;
    double others = waitingWeight - (waiting ? flow.weight() : 0);
    double fairOthers = (own + 1) * others / request.weight();
    return Math.min(size, own + fairOthers);
  }

  private void detach(CustomerFlow flow) {
    if (!flow.isEmpty()) {
      flowsByStartTag.remove(flow);
      flowsByTailFinishTag.remove(flow);
      waitingWeight -= flow.weight();
    }
  }

  private void attach(CustomerFlow flow) {
    if (!flow.isEmpty()) {
      flowsByStartTag.add(flow);
      flowsByTailFinishTag.add(flow);
      waitingWeight += flow.weight();
    }
  }

  // When nothing waits, no customer competes with another, so what they received is forgotten. A
  // sweep follows only after the flows have doubled, so its cost per request is constant.
  private void afterRemoval() {
    size--;
    if (size == 0) {
      flows.clear();
      virtualTime = 0;
      waitingWeight = 0;
      sweepThreshold = SWEEP_MINIMUM;
    } else if (flows.size() >= sweepThreshold) {
      flows.values().removeIf(flow -> flow.isEmpty() && flow.finish() <= virtualTime);
      sweepThreshold = Math.max(SWEEP_MINIMUM, 2 * flows.size());
    }
  }
}
