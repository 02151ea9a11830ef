package org.pollenrock.core.route;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Quota of a customer, which holds for all instances together.
 *
 * @param ratePerSecond amount that becomes available each second, positive
 * @param burst amount that is available after a pause, not negative
 * @param unit unit of the amounts
 * @param plainTokens tokens that a request without a token count costs, not negative
 */
public record CustomerQuota(double ratePerSecond, double burst, Unit unit, long plainTokens) {
  /** Shortest time in which a full burst becomes available again, in seconds. */
  private static final double MIN_BURST_SECONDS = 0.25;

  /** What a quota counts. */
  public enum Unit {
    /** Requests, whatever their size. */
    REQUESTS,
    /** Tokens of the prompt and the maximum output. */
    TOKENS
  }

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException when an amount is out of range or not finite
   */
  public CustomerQuota {
    Objects.requireNonNull(unit, "unit");
    boolean validRate = ratePerSecond > 0 && Double.isFinite(ratePerSecond);
    if (!validRate || !(burst >= 0) || !Double.isFinite(burst) || plainTokens < 0) {
      throw new IllegalArgumentException(
          "invalid quota: rate " + ratePerSecond + ", burst " + burst + ", plain " + plainTokens);
    }
  }

  /**
   * Returns what a request costs.
   *
   * @param tokens tokens of the request; empty if it names none that can be read
   * @return the cost in the unit of the quota
   */
  public double cost(OptionalLong tokens) {
    return switch (unit) {
      case REQUESTS -> 1;
      case TOKENS -> tokens.orElse(plainTokens);
    };
  }

  /**
   * Returns the amount that may be saved up. It allows one request without a token count, so that a
   * quota without a burst still lets requests through.
   *
   * @return the amount, at least the burst
   */
  public double capacity() {
    double smallest = cost(OptionalLong.empty());
    return Math.max(Math.max(burst, smallest), MIN_BURST_SECONDS * ratePerSecond);
  }
}
