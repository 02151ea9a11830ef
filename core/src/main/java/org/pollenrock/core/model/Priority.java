package org.pollenrock.core.model;

/** Class of a request; an earlier constant goes before a later one. */
public enum Priority {
  /** Someone waits for a short answer. */
  URGENT,
  /** A person reads the answer as it streams. */
  INTERACTIVE,
  /** Nobody waits; the first to be refused under overload. */
  BATCH
}
