package org.pollenrock.core.dispatch;

/**
 * Parameters of server selection. Costs are expressed as the number of prompt tokens that an engine
 * reads in the same time.
 *
 * @param dataCentre data centre of this instance
 * @param fetchCostRatio cost of fetching a cached token from another server, relative to reading it
 * @param runningRequestCostTokens cost that one running request adds for prompts that the same
 *     engine reads
 * @param remoteCostTokens cost of sending a request to another data centre
 * @param unknownLoadCostTokens additional cost of another data centre while its instances don't
 *     report their load
 * @param oldWeightsCostTokens cost of weights that were replaced some time ago
 * @param silenceTimeoutNanos time without bytes from a server with an overdue response after which
 *     the server is avoided
 * @param maxFailureRate share of failed requests above which a server is avoided
 * @param trialIntervalNanos interval at which all instances together send a trial request to a
 *     server that fails often
 */
public record SelectorSettings(
    String dataCentre,
    double fetchCostRatio,
    double runningRequestCostTokens,
    double remoteCostTokens,
    double unknownLoadCostTokens,
    double oldWeightsCostTokens,
    long silenceTimeoutNanos,
    double maxFailureRate,
    long trialIntervalNanos) {
  /** Fetching a cached token over the network is several times faster than reading it. */
  private static final double DEFAULT_FETCH_COST_RATIO = 0.25;

  /** A running request slows an engine step by about the reading time of this many tokens. */
  private static final double DEFAULT_RUNNING_REQUEST_COST_TOKENS = 60;

  /** About one round trip between data centres, as reading time of tokens. */
  private static final double DEFAULT_REMOTE_COST_TOKENS = 400;

  /** About the backlog of an engine that is busy but keeps up with its requests. */
  private static final double DEFAULT_UNKNOWN_LOAD_COST_TOKENS = 2_000;

  /** A fifth of a usual target latency for the first token, as reading time of tokens. */
  private static final double DEFAULT_OLD_WEIGHTS_COST_TOKENS = 12_000;

  /** Several times the time to the first token of an idle engine. */
  private static final long DEFAULT_SILENCE_TIMEOUT_NANOS = 400_000_000L;

  /** Above the failure rate of a healthy plain service. */
  private static final double DEFAULT_MAX_FAILURE_RATE = 0.35;

  /**
   * Short compared to the time for which servers fail, and only a few requests are risked as
   * trials.
   */
  private static final long DEFAULT_TRIAL_INTERVAL_NANOS = 175_000_000L;

  /**
   * Returns the default settings of an instance.
   *
   * @param dataCentre data centre of the instance
   * @return the settings
   */
  public static SelectorSettings defaults(String dataCentre) {
    return new SelectorSettings(
        dataCentre,
        DEFAULT_FETCH_COST_RATIO,
        DEFAULT_RUNNING_REQUEST_COST_TOKENS,
        DEFAULT_REMOTE_COST_TOKENS,
        DEFAULT_UNKNOWN_LOAD_COST_TOKENS,
        DEFAULT_OLD_WEIGHTS_COST_TOKENS,
        DEFAULT_SILENCE_TIMEOUT_NANOS,
        DEFAULT_MAX_FAILURE_RATE,
        DEFAULT_TRIAL_INTERVAL_NANOS);
  }
}
