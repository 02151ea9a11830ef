package org.pollenrock.adapters.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Which pooled connections an exchange may use.
 *
 * @param maxIdle longest time since the connection last completed an exchange; zero for a new
 *     connection that is not reused afterwards
 */
public record ConnectionUse(Duration maxIdle) {
  /** A new connection, closed after the exchange. */
  public static final ConnectionUse FRESH = new ConnectionUse(Duration.ZERO);

  /** Any open connection. */
  public static final ConnectionUse ANY = new ConnectionUse(Duration.ofDays(1));

  /** Checks that the bound is present. */
  public ConnectionUse {
    Objects.requireNonNull(maxIdle, "maxIdle");
  }

  /**
   * A connection that answered recently, otherwise a new one.
   *
   * @param life longest time since the last answer
   * @return the rule
   */
  public static ConnectionUse proven(Duration life) {
    return new ConnectionUse(life);
  }

  boolean isFresh() {
    return maxIdle.isZero();
  }
}
