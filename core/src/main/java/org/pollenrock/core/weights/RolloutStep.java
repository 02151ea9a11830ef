package org.pollenrock.core.weights;

import org.pollenrock.core.fleet.Backend;

/** Next action of the instance that holds the {@link OrderLease}. */
public sealed interface RolloutStep {
  /**
   * Reads the report of an engine.
   *
   * @param backend the engine
   */
  record ReadReport(Backend backend) implements RolloutStep {}

  /**
   * Sends a load order.
   *
   * @param order the order
   */
  record SendOrder(LoadOrder order) implements RolloutStep {}
}
