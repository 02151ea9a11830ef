package org.pollenrock.core.speed;

import java.util.OptionalInt;

/**
 * Measured speed of one incarnation of a server: the time that it takes relative to the usual time
 * of its service, and the number of requests at once beyond which it does no more work.
 *
 * <p>Small or uncertain differences count as none, so that servers that are alike are treated as
 * such. Measurements fade with time; a server without recent responses counts as usual until new
 * ones arrive.
 */
public final class ServerSpeed {
  /** Relative time above which a server becomes slow; its inverse makes a server fast. */
  private static final double SLOW_RATIO = 1.25;

  /** Relative time below which a slow server becomes usual again; its inverse ends a fast one. */
  private static final double USUAL_RATIO = 1.15;

  /**
   * Bound of the factor, so that slow servers keep getting requests that show when they recover.
   */
  private static final double MAX_FACTOR = 3;

  /** Bound of a single sample. */
  private static final double MAX_SAMPLE = 8;

  private static final double MIN_WEIGHT = 4;
  private static final double MAX_WEIGHT = 30;
  private static final double HALF_LIFE_NANOS = 6e9;

  /** Difference from the usual time that counts, in standard errors. */
  private static final double MIN_STANDARD_ERRORS = 4;

  /** Variance of the relative time of single requests that is assumed before it is known. */
  private static final double ASSUMED_VARIANCE = 1;

  /** Weight of a new sample in the variance. */
  private static final double VARIANCE_SMOOTHING_FACTOR = 0.05;

  /** Relative time above which a server gets a smaller share of the homes of prefixes. */
  private static final double FEWER_HOMES_RATIO = 1.6;

  private static final double FEWER_HOMES_SHARE = 0.5;

  /** Minimum time between two changes of the share of homes, so that caches stay useful. */
  private static final long HOMES_INTERVAL_NANOS = 10_000_000_000L;

  /** Interval at which the limit is updated, to save processor time. */
  private static final long LIMIT_INTERVAL_NANOS = 100_000_000L;

  private final DecayingMean own = new DecayingMean(MAX_WEIGHT, HALF_LIFE_NANOS);
  private final ParallelTimes parallelTimes = new ParallelTimes();
  private final PeerSpeeds peers = new PeerSpeeds();
  private double variance = ASSUMED_VARIANCE;
  private double factor = 1;
  private int ownLimit;
  private int peerLimit;
  private double homeShare = 1;
  private long homesChangedNanos;
  private long limitUpdatedNanos;

  /**
   * Creates the state of a server without measurements.
   *
   * @param nowNanos current time
   */
  public ServerSpeed(long nowNanos) {
    homesChangedNanos = nowNanos - HOMES_INTERVAL_NANOS;
    limitUpdatedNanos = nowNanos;
  }

  /**
   * Records the time of a complete response.
   *
   * @param ratio the time relative to the usual time of the service
   * @param nowNanos current time
   */
  public void record(double ratio, long nowNanos) {
    double sample = Math.clamp(ratio, 0, MAX_SAMPLE);
    own.record(sample, nowNanos);
    double deviation = sample - own.mean();
    variance += VARIANCE_SMOOTHING_FACTOR * (deviation * deviation - variance);
    refresh(nowNanos);
  }

  /**
   * Records the time of a complete response by the number of requests at the server.
   *
   * @param requests number of requests at the server when it was sent, including it
   * @param slots number of requests that the server runs concurrently
   * @param elapsedNanos time from sending the request to the end of its response
   * @param nowNanos current time
   */
  public void recordParallel(double requests, int slots, long elapsedNanos, long nowNanos) {
    parallelTimes.record(requests, slots, elapsedNanos, nowNanos);
    if (nowNanos - limitUpdatedNanos >= LIMIT_INTERVAL_NANOS) {
      ownLimit = parallelTimes.updateLimit(nowNanos);
      limitUpdatedNanos = nowNanos;
    }
  }

  /**
   * Applies what another instance has measured.
   *
   * @param peer identity of the instance
   * @param report the measurements
   * @param nowNanos current time
   */
  public void applyPeer(long peer, SpeedReport report, long nowNanos) {
    peers.apply(peer, report, nowNanos);
    refresh(nowNanos);
  }

  /**
   * Discards what is outdated.
   *
   * @param nowNanos current time
   */
  public void refresh(long nowNanos) {
    peers.expire(nowNanos);
    SpeedReport others = peers.combined();
    peerLimit = others.limit();
    double ownWeight = own.weight(nowNanos);
    // Own responses replace the measurements of others as they become enough.
    double othersWeight = others.weight() * Math.max(0, 1 - ownWeight / MAX_WEIGHT);
    double weight = ownWeight + othersWeight;
    double ratio =
        weight == 0 ? 1 : (ownWeight * own.mean() + othersWeight * others.ratio()) / weight;
    boolean certain =
        weight >= MIN_WEIGHT
            && Math.abs(ratio - 1) > MIN_STANDARD_ERRORS * Math.sqrt(variance / weight);
    // A factor in force needs less evidence to stay than a new one to begin.
    boolean inForce = factor != 1 && weight >= MIN_WEIGHT && factor > 1 == ratio > 1;
    double bound = inForce ? USUAL_RATIO : SLOW_RATIO;
    boolean outside = ratio > bound || ratio < 1 / bound;
    factor = outside && (certain || inForce) ? Math.clamp(ratio, 1 / MAX_FACTOR, MAX_FACTOR) : 1;
    refreshHomeShare(nowNanos);
  }

  private void refreshHomeShare(long nowNanos) {
    double share = factor > FEWER_HOMES_RATIO ? FEWER_HOMES_SHARE : 1;
    boolean keepsFewer = homeShare < 1 && factor > SLOW_RATIO;
    if (share != homeShare && !keepsFewer && nowNanos - homesChangedNanos >= HOMES_INTERVAL_NANOS) {
      homeShare = share;
      homesChangedNanos = nowNanos;
    }
  }

  /**
   * Returns the time that the server takes, relative to the usual time of its service.
   *
   * @return the factor; exactly 1 unless the server clearly differs
   */
  public double factor() {
    return factor;
  }

  /**
   * Returns the number of requests at once beyond which the server does no more work.
   *
   * @return the number, at least 1; empty if none was found, or none well below its slots
   */
  public OptionalInt limit() {
    int limit = ownLimit > 0 ? ownLimit : peerLimit;
    return limit == 0 ? OptionalInt.empty() : OptionalInt.of(limit);
  }

  /**
   * Returns the share of homes of prefixes that the server should have, relative to others. It
   * changes seldom and in coarse steps.
   *
   * @return the share; exactly 1 unless the server is much slower than usual
   */
  public double homeShare() {
    return homeShare;
  }

  /**
   * Returns what this instance has measured itself, if others should know it.
   *
   * @param nowNanos current time
   * @return the measurements; without weight if the server is usual or there are too few
   */
  public SpeedReport ownReport(long nowNanos) {
    double weight = own.weight(nowNanos);
    boolean usual = own.mean() < SLOW_RATIO && own.mean() > 1 / SLOW_RATIO;
    // Others are told too of a server that they wrongly take for a slow or fast one.
    return weight < 1 || usual && factor == 1 && ownLimit == 0
        ? new SpeedReport(1, 0, 0)
        : new SpeedReport(own.mean(), weight, ownLimit);
  }
}
