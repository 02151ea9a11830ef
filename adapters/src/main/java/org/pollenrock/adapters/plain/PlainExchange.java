package org.pollenrock.adapters.plain;

/** Handle of one call; may be used from any thread. */
@FunctionalInterface
public interface PlainExchange {
  /** Closes the connection of the call; has no effect after its answer. */
  void cancel();
}
