package org.pollenrock.core.limits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.pollenrock.core.model.CustomerId;

/**
 * Start-time fair queue of the waiting requests of one priority class.
 *
 * <p>The virtual time is the start tag of the most recently dispatched request. While two customers
 * both have waiting requests, the service that they received, divided by their weights, differs by
 * at most one request of each.
 */
final class FairQueue {
  /** Minimum value of {@link #sweepThreshold}. */
  private static final int MIN_SWEEP_THRESHOLD = 64;

  private final Map<CustomerId, CustomerFlow> flows = new HashMap<>();
  private final TreeSet<CustomerFlow> flowsByStartTag =
      new TreeSet<>(
          Comparator.comparingDouble(CustomerFlow::headStartTag)
              .thenComparingLong(CustomerFlow::sequence));
  private final TreeSet<CustomerFlow> flowsByTailFinishTag =
      new TreeSet<>(
          Comparator.comparingDouble(CustomerFlow::tailFinishTag)
              .thenComparingLong(CustomerFlow::sequence));
  private double virtualTime;
  private double waitingWeight;
  private int size;
  private long flowCounter;

  /** Number of flows at which flows without waiting requests are removed. */
  private int sweepThreshold = MIN_SWEEP_THRESHOLD;

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  QueuedRequest add(AdmissionRequest request) {
    CustomerFlow flow =
        flows.computeIfAbsent(request.customer(), customer -> new CustomerFlow(flowCounter++));
    QueuedRequest added = new QueuedRequest(request, flow);
    detach(flow);
    flow.add(added, virtualTime);
    attach(flow);
    size++;
    return added;
  }

  /** Removes and returns the request that is next in fair order. */
  QueuedRequest dispatch() {
    CustomerFlow flow = flowsByStartTag.first();
    detach(flow);
    virtualTime = flow.headStartTag();
    QueuedRequest dispatched = flow.dispatchHead();
    attach(flow);
    afterRemoval();
    return dispatched;
  }

  /** Removes a request that will not be dispatched. */
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

  /** Returns whether a new request would be dispatched before the one that is currently last. */
  boolean precedesLast(AdmissionRequest request) {
    CustomerFlow flow = flows.get(request.customer());
    double finishTag =
        flow == null
            ? virtualTime + request.cost() / request.weight()
            : flow.tailFinishTagWith(request, virtualTime);
    return finishTag < flowsByTailFinishTag.last().tailFinishTag();
  }

  /** Estimates how many waiting requests of the class would be dispatched before a new request. */
  double estimateRequestsAhead(AdmissionRequest request) {
    CustomerFlow flow = flows.get(request.customer());
    boolean waiting = flow != null && !flow.isEmpty();
    int ownWaiting = waiting ? flow.size() : 0;
    double otherWeight = waitingWeight - (waiting ? flow.weight() : 0);
    // Other customers are served in proportion to their weights while the waiting requests of this
    // customer and the new request are dispatched.
    double otherRequests = (ownWaiting + 1) * otherWeight / request.weight();
    return Math.min(size, ownWaiting + otherRequests);
  }

  // Must be called before the tags of a flow change, because the sets are sorted by tag.
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

  // Without waiting requests no customer competes with another, so the service that customers
  // received is discarded. Flows without waiting requests are removed only after the number of
  // flows has doubled, so that the cost per request stays constant.
  private void afterRemoval() {
    size--;
    if (size == 0) {
      flows.clear();
      virtualTime = 0;
      waitingWeight = 0;
      sweepThreshold = MIN_SWEEP_THRESHOLD;
    } else if (flows.size() >= sweepThreshold) {
      flows.values().removeIf(flow -> flow.isEmpty() && flow.lastFinishTag() <= virtualTime);
      sweepThreshold = Math.max(MIN_SWEEP_THRESHOLD, 2 * flows.size());
    }
  }
}
