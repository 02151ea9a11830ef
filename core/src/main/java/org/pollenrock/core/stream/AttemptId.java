package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Identifier of one attempt, which is one send of a request to a server.
 *
 * <p>Identifiers are unique, because the counter is unique within an incarnation of a router.
 *
 * @param router router instance that sends the request
 * @param incarnation incarnation of the router
 * @param counter number of the attempt within the incarnation, not negative
 */
public record AttemptId(InstanceId router, Incarnation incarnation, long counter) {
  private static final char SEPARATOR = '/';

  /**
   * Checks that no component is null and the counter is not negative.
   *
   * @throws IllegalArgumentException if the counter is negative
   */
  public AttemptId {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(incarnation, "incarnation");
    if (counter < 0) {
      throw new IllegalArgumentException("counter must not be negative: " + counter);
    }
  }

  /**
   * Returns the value of the attempt header.
   *
   * @return router, incarnation and counter, separated by slashes
   */
  public String headerValue() {
    return router.value() + SEPARATOR + incarnation.value() + SEPARATOR + counter;
  }

  /**
   * Parses the value of an attempt header.
   *
   * @param value value echoed by the server
   * @return the attempt, or empty if the value is malformed
   */
  public static Optional<AttemptId> parse(String value) {
    int counterAt = value.lastIndexOf(SEPARATOR);
    int incarnationAt = value.lastIndexOf(SEPARATOR, counterAt - 1);
    if (incarnationAt <= 0 || value.substring(0, incarnationAt).isBlank()) {
      return Optional.empty();
    }
    try {
      InstanceId router = new InstanceId(value.substring(0, incarnationAt));
      long incarnation = Long.parseLong(value.substring(incarnationAt + 1, counterAt));
      long counter = Long.parseLong(value.substring(counterAt + 1));
      if (counter < 0) {
        return Optional.empty();
      }
      return Optional.of(new AttemptId(router, new Incarnation(incarnation), counter));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }

  /**
   * Returns whether this attempt was made after another one of the same router incarnation.
   *
   * @param other attempt to compare with
   * @return true if both have the same router and incarnation and this counter is larger
   */
  public boolean isAfter(AttemptId other) {
    return router.equals(other.router)
        && incarnation.equals(other.incarnation)
        && counter > other.counter;
  }
}
