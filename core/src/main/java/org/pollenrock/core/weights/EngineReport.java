package org.pollenrock.core.weights;

import java.util.Map;

/**
 * State of an engine as it reports it, some hundred milliseconds old.
 *
 * @param busy whether it carries out an order
 * @param acceptedOrders number of orders that this incarnation accepted
 * @param weights versions of the weights that it serves, by model
 */
public record EngineReport(boolean busy, long acceptedOrders, Map<String, Long> weights) {
  /** Copies the weights. */
  public EngineReport {
    weights = Map.copyOf(weights);
  }
}
