package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Usual demand of the customers of one service, from which their shares under overload follow.
 *
 * <p>The average covers about the last half minute, so that a customer that suddenly sends many
 * times its usual keeps the share that it had before.
 */
final class CustomerDemand {
  private static final long SLICE_NANOS = 1_000_000_000L;

  /** Weight of the newest slice in the moving average. */
  private static final double NEWEST_WEIGHT = 1.0 / 30;

  /** Minimum weight of a customer; that of one without a history. */
  private static final double MIN_RELATIVE_WEIGHT = 0.25;

  /** Work in a second below which a customer that sends nothing any more is forgotten. */
  private static final double FORGOTTEN_WORK = 0.01;

  private static final class Demand {
    private double usual;
    private double current;
  }

  private final Map<String, Demand> demands = new HashMap<>();
  private long sliceStartNanos;
  private double totalUsual;

  /** Records a request of a customer. */
  void record(String customer, long work, long nowNanos) {
    if (demands.isEmpty()) {
      sliceStartNanos = nowNanos;
    } else if (nowNanos - sliceStartNanos >= SLICE_NANOS) {
      endSlice(nowNanos);
    }
    demands.computeIfAbsent(customer, name -> new Demand()).current += work;
  }

  /** Returns the usual demand of a customer in relation to the mean of all customers. */
  double weight(String customer) {
    if (totalUsual == 0) {
      return 1;
    }
    Demand demand = demands.get(customer);
    double relative = demand == null ? 0 : demand.usual * demands.size() / totalUsual;
    return Math.max(relative, MIN_RELATIVE_WEIGHT);
  }

  /** Returns the sum of the weights of all customers, at least 1. */
  double totalWeight() {
    return Math.max(1, demands.size());
  }

  private void endSlice(long nowNanos) {
    long slices = (nowNanos - sliceStartNanos) / SLICE_NANOS;
    double retained = Math.pow(1 - NEWEST_WEIGHT, slices);
    totalUsual = 0;
    for (Demand demand : demands.values()) {
      // Slices without any request decay like the others.
      demand.usual = retained * (demand.usual + NEWEST_WEIGHT * demand.current);
      demand.current = 0;
      totalUsual += demand.usual;
    }
    demands.values().removeIf(demand -> demand.usual < FORGOTTEN_WORK);
    sliceStartNanos += slices * SLICE_NANOS;
  }
}
