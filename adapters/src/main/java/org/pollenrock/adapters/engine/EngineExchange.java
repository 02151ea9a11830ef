package org.pollenrock.adapters.engine;

/** Handle of one attempt; every method may be called from any thread. */
public interface EngineExchange {
  /** Stops reading from the engine until {@link #resume}. */
  void suspend();

  /** Reads on. */
  void resume();

  /** Closes the connection and asks the engine to stop the work; has no effect after the end. */
  void cancel();
}
