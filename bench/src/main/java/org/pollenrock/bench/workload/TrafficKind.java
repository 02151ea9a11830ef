package org.pollenrock.bench.workload;

import java.util.Locale;

/** Kinds of request in the traffic of the deployments. */
public enum TrafficKind {
  /** Long summary of an account history. */
  DISPUTE_SUMMARY(Shape.LONG_MODEL, 24),
  /** Short urgent answer. */
  CONDITION_CHECK(Shape.SHORT_MODEL, 4),
  /** Idempotent plain call. */
  BALANCE(Shape.IDEMPOTENT_CALL, 0),
  /** Plain call that must run at most once. */
  REFUND(Shape.NON_IDEMPOTENT_CALL, 0),
  /** Long draft from a dossier. */
  ROUTE_BRIEFING(Shape.LONG_MODEL, 24),
  /** Short classification of a message. */
  MESSAGE_SORTING(Shape.SHORT_MODEL, 4),
  /** Idempotent plain call. */
  AVAILABILITY(Shape.IDEMPOTENT_CALL, 0),
  /** Plain call that must run at most once. */
  BOOKING(Shape.NON_IDEMPOTENT_CALL, 0);

  /** How a request of the kind is made. */
  public enum Shape {
    /** Streamed chat completion with a dossier. */
    LONG_MODEL,
    /** Streamed completion without a dossier. */
    SHORT_MODEL,
    /** GET of a plain service. */
    IDEMPOTENT_CALL,
    /** POST of a plain service with an idempotency key. */
    NON_IDEMPOTENT_CALL
  }

  private final Shape shape;
  private final int maxTokens;

  TrafficKind(Shape shape, int maxTokens) {
    this.shape = shape;
    this.maxTokens = maxTokens;
  }

  /**
   * How a request of this kind is made.
   *
   * @return the shape
   */
  public Shape shape() {
    return shape;
  }

  /**
   * Tokens to generate.
   *
   * @return the max_tokens of the request
   */
  public int maxTokens() {
    return maxTokens;
  }

  /**
   * Name in the settings tree.
   *
   * @return lower case with hyphens
   */
  public String settingsName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
