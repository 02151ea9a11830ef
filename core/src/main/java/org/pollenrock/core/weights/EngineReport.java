package org.pollenrock.core.weights;

import java.util.Map;

/**
 * State of an engine as reported by the engine, some hundred milliseconds old.
 *
 * @param busy whether the engine is executing a load order
 * @param acceptedOrders number of orders accepted by this incarnation of the engine
 * @param weights versions of the weights that the engine serves, by model
 */
public record EngineReport(boolean busy, long acceptedOrders, Map<String, Long> weights) {
  /** Copies the weights. */
  public EngineReport {
    weights = Map.copyOf(weights);
  }
}
