package org.pollenrock.core.connection;

/**
 * Time limits for monitoring the connections of one kind of link.
 *
 * @param canProbe whether a new connection can be opened to probe the peer; false for connections
 *     of callers
 * @param provenLifeNanos maximum time since a connection last received data for starting a
 *     non-idempotent exchange on it
 * @param sendDeadlineNanos maximum time without write progress while written data is pending
 * @param probeTimeoutNanos maximum duration of a probe, including the connection setup
 * @param probeIntervalNanos delay between a failed probe and the next one, unless another
 *     connection is found silent sooner
 * @param tickNanos maximum time between two calls of {@link ConnectionMonitor#tick}
 */
public record ConnectionSettings(
    boolean canProbe,
    long provenLifeNanos,
    long sendDeadlineNanos,
    long probeTimeoutNanos,
    long probeIntervalNanos,
    long tickNanos) {
  /**
   * Checks that all durations are positive.
   *
   * @throws IllegalArgumentException if a duration is not positive
   */
  public ConnectionSettings {
    requirePositive(provenLifeNanos, "provenLifeNanos");
    requirePositive(sendDeadlineNanos, "sendDeadlineNanos");
    requirePositive(probeTimeoutNanos, "probeTimeoutNanos");
    requirePositive(probeIntervalNanos, "probeIntervalNanos");
    requirePositive(tickNanos, "tickNanos");
  }

  /**
   * Returns the maximum time from the last progress of an exchange until the silence of its
   * connection is resolved: either the idle connections older than the probe are closed, or the
   * server is suspect.
   *
   * <p>Silence is detected at the first tick after the deadline, and a probe without a response at
   * the first tick after its timeout. If a probe is already running, its outcome covers the idle
   * connections that are older than the probe; newer ones wait for one further probe.
   *
   * @param progressDeadlineNanos progress deadline of the exchange, or the send deadline if that is
   *     longer and written data is pending
   * @return the maximum time in nanoseconds
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
