package org.pollenrock.core.weights;

/** Answer of an engine to an order. */
public enum OrderAnswer {
  /** The engine carries the order out. */
  ACCEPTED,
  /** The engine has these weights already. */
  HOLDS,
  /** Another order is being carried out, or other orders came before. */
  CONFLICT,
  /** A higher fencing number was seen. */
  FENCED,
  /** Another server stands at the address. */
  MISPLACED,
  /** The engine knows no such order or version. */
  INVALID,
  /** No answer; the order may have been accepted or may be later. */
  UNKNOWN
}
