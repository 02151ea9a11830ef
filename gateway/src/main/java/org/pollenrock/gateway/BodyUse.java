package org.pollenrock.gateway;

/** How the receiver of a response uses its body. */
enum BodyUse {
  /** The body is used once it is complete. */
  COLLECTED,
  /** Parts of the body are used as they arrive. */
  RELAYED,
  /** The body is not used; the response counts by its status, once its end is certain. */
  IGNORED
}
