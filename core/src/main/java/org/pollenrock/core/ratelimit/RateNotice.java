package org.pollenrock.core.ratelimit;

/** What a response tells about the rate of requests that its server accepts. */
public sealed interface RateNotice {
  /**
   * The server accepts a limited rate.
   *
   * @param requestsPerSecond requests a second that the server accepts from all instances together;
   *     0 or more
   */
  record Limited(double requestsPerSecond) implements RateNotice {
    /**
     * Creates a notice.
     *
     * @throws IllegalArgumentException if the rate is negative or not finite
     */
    public Limited {
      if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0) {
        throw new IllegalArgumentException("requestsPerSecond: " + requestsPerSecond);
      }
    }
  }

  /** The server names no limit. */
  record Unlimited() implements RateNotice {}

  /** The response tells nothing: it is not of a run, or what it names can't be read. */
  record Unknown() implements RateNotice {}
}
