package org.pollenrock.core.dispatch;

/**
 * Bounds of the choice of a server.
 *
 * @param dataCentre data centre of this instance
 * @param spillFactor load over the mean at which a server's requests go to the next in rank
 * @param spillFloor requests that a server holds at least before its requests go elsewhere
 * @param newWeightsShare share of the slots up to which servers with the newest weights are
 *     preferred over others
 * @param silenceNanos silence after which a server that owes an answer is avoided
 * @param failureRate share of failures above which a server is avoided
 * @param probeNanos interval at which an avoided server is tried
 */
public record SelectorSettings(
    String dataCentre,
    double spillFactor,
    double spillFloor,
    double newWeightsShare,
    long silenceNanos,
    double failureRate,
    long probeNanos) {
  /** Consistent hashing with bounded loads: 1.25 times the mean is the usual bound. */
  private static final double DEFAULT_SPILL_FACTOR = 1.5;

  /** Below this many requests an engine's batch costs little more than one request. */
  private static final double DEFAULT_SPILL_FLOOR = 4;

  private static final double DEFAULT_NEW_WEIGHTS_SHARE = 0.6;

  /** Several times the time to the first token of an unloaded engine. */
  private static final long DEFAULT_SILENCE_NANOS = 400_000_000L;

  /** Above the share of failed answers that a sound plain service has. */
  private static final double DEFAULT_FAILURE_RATE = 0.35;

  private static final long DEFAULT_PROBE_NANOS = 700_000_000L;

  /**
   * The defaults for an instance.
   *
   * @param dataCentre its data centre
   * @return the settings
   */
  public static SelectorSettings defaults(String dataCentre) {
    return new SelectorSettings(
        dataCentre,
        DEFAULT_SPILL_FACTOR,
        DEFAULT_SPILL_FLOOR,
        DEFAULT_NEW_WEIGHTS_SHARE,
        DEFAULT_SILENCE_NANOS,
        DEFAULT_FAILURE_RATE,
        DEFAULT_PROBE_NANOS);
  }
}
