package org.pollenrock.adapters.engine;

import java.util.concurrent.CompletionStage;
import org.pollenrock.core.error.Result;

/** Client of model engines. */
public interface EngineClient {
  /**
   * Starts an attempt.
   *
   * @param request what to run and where
   * @param listener receives the answer
   * @return handle of the attempt
   */
  EngineExchange open(EngineRequest request, EngineListener listener);

  /**
   * Reads the engine's report about itself.
   *
   * @param engine the engine
   * @return the report, or why there is none
   */
  CompletionStage<Result<ServerReport>> report(EngineAddress engine);

  /**
   * Tests on a new connection whether the engine answers. When it does, older idle connections to
   * it are closed, because one of them was found silent.
   *
   * @param engine the engine
   * @return the report, or why there is none
   */
  CompletionStage<Result<ServerReport>> probe(EngineAddress engine);

  /**
   * Reads cache events.
   *
   * @param engine the engine
   * @param after sequence number after which to read
   * @param max most events to return
   * @return a page of events, or why there is none
   */
  CompletionStage<Result<CacheEvents>> cacheEvents(EngineAddress engine, long after, int max);

  /**
   * Gives an order.
   *
   * @param engine the engine
   * @param order the order
   * @return true when accepted, false when its fencing number is old, or why neither is known
   */
  CompletionStage<Result<Boolean>> order(EngineAddress engine, ServerOrderMessage order);
}
