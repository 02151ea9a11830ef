package org.pollenrock.core.weights;

/** Answer of an engine to a load order. */
public enum OrderAnswer {
  /** The engine executes the order. */
  ACCEPTED,
  /** The engine already has these weights. */
  HOLDS,
  /**
   * The engine is executing another order, or has accepted a different number of orders than
   * expected.
   */
  CONFLICT,
  /** The engine has received a higher fencing number. */
  FENCED,
  /** A different server responded at the address. */
  MISPLACED,
  /** The engine does not recognize the order or the version. */
  INVALID,
  /** There was no answer; the engine may have accepted the order or may still accept it. */
  UNKNOWN
}
