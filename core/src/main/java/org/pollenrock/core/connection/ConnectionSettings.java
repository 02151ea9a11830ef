package org.pollenrock.core.connection;

/**
 * Time bounds of one kind of link.
 *
 * @param canProbe whether a fresh connection can be opened to the peer; false for callers
 * @param provenLifeNanos how long after its last received data a connection may carry a
 *     non-idempotent call
 * @param sendDeadlineNanos longest time without progress while written data waits
 * @param probeTimeoutNanos longest time of a probe, connecting included
 * @param probeIntervalNanos pause between a failed probe and the next one
 * @param tickNanos longest time between two ticks
 */
public record ConnectionSettings(
    boolean canProbe,
    long provenLifeNanos,
    long sendDeadlineNanos,
    long probeTimeoutNanos,
    long probeIntervalNanos,
    long tickNanos) {
  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a duration is not positive
   */
  public ConnectionSettings {
    requirePositive(provenLifeNanos, "provenLifeNanos");
    requirePositive(sendDeadlineNanos, "sendDeadlineNanos");
    requirePositive(probeTimeoutNanos, "probeTimeoutNanos");
    requirePositive(probeIntervalNanos, "probeIntervalNanos");
    requirePositive(tickNanos, "tickNanos");
  }

  /**
   * Longest time from the last progress of a connection with an exchange until its silence has been
   * resolved: either the older idle connections are closed, or the server is suspect.
   *
   * <p>A silence is seen at the first tick after the deadline, an unanswered probe at the first
   * tick after its timeout. While a probe is already running, its outcome covers idle connections
   * that are older than it; younger ones wait for one further probe.
   *
   * @param progressDeadlineNanos progress deadline of the exchange; the send deadline when that is
   *     longer and data is waiting to be written
   * @return nanoseconds
   */
  public long maxRecoveryNanos(long progressDeadlineNanos) {
    long detected = progressDeadlineNanos + tickNanos;
    long probed = probeTimeoutNanos + tickNanos;
    return detected + 2 * probed;
  }

  private static void requirePositive(long nanos, String name) {
    if (nanos <= 0) {
      throw new IllegalArgumentException(name + " must be positive: " + nanos);
    }
  }
}
