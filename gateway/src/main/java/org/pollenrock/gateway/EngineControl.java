package org.pollenrock.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.weights.EngineReport;
import org.pollenrock.core.weights.LoadOrder;
import org.pollenrock.core.weights.OrderAnswer;

/** Reads the reports of engines and sends orders to them. */
public interface EngineControl {
  /**
   * Reads an engine's report.
   *
   * @param backend the engine
   * @param result receives the report; empty when it could not be read
   */
  void readReport(Backend backend, Consumer<Optional<EngineReport>> result);

  /**
   * Sends an order to load weights to an engine.
   *
   * @param order the order
   * @param maySend asked right before the order is written; if it returns false, the order is not
   *     sent
   * @param result receives the answer of the engine
   */
  void sendOrder(LoadOrder order, BooleanSupplier maySend, Consumer<OrderAnswer> result);
}
