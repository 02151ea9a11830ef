package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair order of the waiting requests of one urgency.
 *
 * <p>While several flows have waiting requests, the work that is dispatched for each is in
 * proportion to its weight, so the flow that asks for most beyond its share waits longest. Requests
 * of one flow keep the order of their arrival.
 */
final class FairOrder {
  private final Map<String, Double> nextTags = new HashMap<>();
  private double virtualTime;
  private int waiting;

  /** Returns the start tag that a new request of a flow would get. */
  double startTag(String flow) {
    return Math.max(virtualTime, nextTags.getOrDefault(flow, 0.0));
  }

  /** Adds a request of a flow and returns its start tag. */
  double add(String flow, double work, double weight) {
    double tag = startTag(flow);
    nextTags.put(flow, tag + work / weight);
    waiting++;
    return tag;
  }

  /** Records that a request was dispatched. */
  void recordDispatch(double startTag) {
    virtualTime = Math.max(virtualTime, startTag);
    recordRemoval();
  }

  /**
   * Records that a request left the queue without being dispatched; its flow gets the work back.
   */
  void recordRefusal(String flow, double work, double weight) {
    nextTags.computeIfPresent(flow, (name, tag) -> tag - work / weight);
    recordRemoval();
  }

  // Without waiting requests no flow competes with another, so what each received is forgotten.
  private void recordRemoval() {
    waiting--;
    if (waiting == 0) {
      nextTags.clear();
      virtualTime = 0;
    }
  }
}
