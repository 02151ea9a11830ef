package org.pollenrock.core.placement;

import java.util.random.RandomGenerator;
import org.pollenrock.core.cache.CacheIndex;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/** State of one placer that its strategies and cost model share. */
final class PlacerState {
  private static final double SERVICE_SMOOTHING = 0.05;
  private static final double DEFAULT_HOLD_NANOS = 1e9;

  private final PlacerConfig config;
  private final RandomGenerator random;
  private final LoadTable loads;
  private final CacheIndex cache;
  private final HotPrefixTracker hot;
  private final SpillState spill;
  private final PrefixFingerprinter fingerprinter = new PrefixFingerprinter();
  private final CostModel costs;
  private final ArrivalRate arrivals = new ArrivalRate();
  private final HomePrior homePrior = new HomePrior();
  private int routers = 1;
  private double holdNanos = DEFAULT_HOLD_NANOS;

  PlacerState(PlacerConfig config, RandomGenerator random) {
    this.config = config;
    this.random = random;
    loads = new LoadTable(config);
    cache = new CacheIndex(config.cacheEntries(), config.customerFloor());
    hot = new HotPrefixTracker(config.trackedLevels());
    spill = new SpillState(config.trackedLevels());
    costs = new CostModel(this);
  }

  PlacerConfig config() {
    return config;
  }

  RandomGenerator random() {
    return random;
  }

  LoadTable loads() {
    return loads;
  }

  CacheIndex cache() {
    return cache;
  }

  HotPrefixTracker hot() {
    return hot;
  }

  ArrivalRate arrivals() {
    return arrivals;
  }

  HomePrior homePrior() {
    return homePrior;
  }

  SpillState spill() {
    return spill;
  }

  PrefixFingerprinter fingerprinter() {
    return fingerprinter;
  }

  CostModel costs() {
    return costs;
  }

  /** Routers that share the traffic; the load balancer spreads it evenly. */
  int routers() {
    return routers;
  }

  void routers(int count) {
    routers = Math.max(1, count);
  }

  /** Smoothed time from sending a request to its end. */
  double holdNanos() {
    return holdNanos;
  }

  void held(long nanos) {
    holdNanos += SERVICE_SMOOTHING * (nanos - holdNanos);
  }
}
