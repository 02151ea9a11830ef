package org.pollenrock.core.dispatch;

/**
 * Bounds of the choice of a server.
 *
 * @param dataCentre data centre of this instance
 * @param fetchCostRatio cost of fetching a token from another server, as a share of reading it
 * @param runningRequestCostTokens cost of one running request to those that are read beside it, in
 *     tokens read
 * @param remoteCostTokens cost of sending a request to another data centre, in tokens read
 * @param unknownLoadCostTokens further cost when instances there don't tell their load, in tokens
 *     read
 * @param oldWeightsCostTokens cost of weights that were replaced some time ago, in tokens read
 * @param silenceTimeoutNanos silence after which a server that owes an answer is avoided
 * @param maxFailureRate share of failures above which a server is avoided
 * @param trialIntervalNanos interval at which all instances together try a server that fails often
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
  /** Links carry a cached token several times faster than an engine reads it. */
  private static final double DEFAULT_FETCH_COST_RATIO = 0.25;

  /** A running request lengthens a step by about this many tokens' reading time. */
  private static final double DEFAULT_RUNNING_REQUEST_COST_TOKENS = 60;

  /** Reading time of this many tokens is about a round trip between data centres. */
  private static final double DEFAULT_REMOTE_COST_TOKENS = 400;

  /** About the backlog of an engine that is busy but keeps up. */
  private static final double DEFAULT_UNKNOWN_LOAD_COST_TOKENS = 2_000;

  /** Reading time of this many tokens is a fifth of a usual objective for the first token. */
  private static final double DEFAULT_OLD_WEIGHTS_COST_TOKENS = 12_000;

  /** Several times the time to the first token of an unloaded engine. */
  private static final long DEFAULT_SILENCE_TIMEOUT_NANOS = 400_000_000L;

  /** Above the share of failed answers that a sound plain service has. */
  private static final double DEFAULT_MAX_FAILURE_RATE = 0.35;

  /** Short against the time for which servers fail, and few requests in it. */
  private static final long DEFAULT_TRIAL_INTERVAL_NANOS = 175_000_000L;

  /**
   * The defaults for an instance.
   *
   * @param dataCentre its data centre
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
