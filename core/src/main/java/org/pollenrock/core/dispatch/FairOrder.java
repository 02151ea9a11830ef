package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Start-time fair order of the waiting requests of one urgency.
 *
 * <p>While several flows have waiting requests, the work that is dispatched for each is in
 * proportion to its weight, so the flow that asks for most beyond its share waits longest. Requests
 * of one flow keep the order of their arrival.
 */
final class FairOrder {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, Double> nextTags = new HashMap<>();
  private final WorkRate progress = new WorkRate();
  private double virtualTime;
  private int waiting;

  /** Returns the start tag that a new request of a flow would get. */
  double startTag(String flow) {
    return Math.max(virtualTime, nextTags.getOrDefault(flow, 0.0));
  }

  /** Adds a request of a flow and returns its start tag. */
  double add(String flow, double work, double weight, long nowNanos) {
    double tag = startTag(flow);
    nextTags.put(flow, tag + work / weight);
    if (waiting++ == 0) {
      progress.startWaiting(nowNanos);
    }
    return tag;
  }

  /**
   * Returns the time until the virtual time reaches a start tag, in nanoseconds. For a flow beyond
   * its share this includes the requests of others that will come before.
   */
  OptionalLong expectedWaitNanos(double startTag, long nowNanos) {
    OptionalDouble perSecond = progress.perSecond(nowNanos);
    return perSecond.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(
            (long) ((startTag - virtualTime) * NANOS_PER_SECOND / perSecond.getAsDouble()));
  }

  /** Records that a request was dispatched. */
  void recordDispatch(double startTag, long nowNanos) {
    double advance = Math.max(0, startTag - virtualTime);
    progress.recordCompletion(advance, nowNanos);
    virtualTime += advance;
    recordRemoval(nowNanos);
  }

  /**
   * Records that a request left the queue without being dispatched; its flow gets the work back.
   */
  void recordRefusal(String flow, double work, double weight, long nowNanos) {
    nextTags.computeIfPresent(flow, (name, tag) -> tag - work / weight);
    recordRemoval(nowNanos);
  }

  // Without waiting requests no flow competes with another, so what each received is forgotten.
  private void recordRemoval(long nowNanos) {
    waiting--;
    if (waiting == 0) {
      progress.endWaiting(nowNanos);
      nextTags.clear();
      virtualTime = 0;
    }
  }
}
