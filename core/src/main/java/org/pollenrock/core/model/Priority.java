package org.pollenrock.core.model;

/** Priorities of requests, highest first; the order of the constants is used for comparison. */
public enum Priority {
  /** A user waits for a short response. */
  URGENT,
  /** A user reads the response while it is streamed. */
  INTERACTIVE,
  /** No user waits for the response; refused first under overload. */
  BATCH
}
