package org.pollenrock.core.weights;

import org.pollenrock.core.fleet.Backend;

/** What the holder of the orders does next. */
public sealed interface RolloutStep {
  /**
   * Reads an engine's report.
   *
   * @param backend the engine
   */
  record ReadReport(Backend backend) implements RolloutStep {}

  /**
   * Sends an order.
   *
   * @param order the order
   */
  record SendOrder(LoadOrder order) implements RolloutStep {}
}
