package org.pollenrock.core.placement;

import java.util.random.RandomGenerator;
import org.pollenrock.core.cache.CacheIndex;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/** State of one placer that its strategy and cost model share. */
final class PlacerState {
  /** Weight of the newest request in the moving average of the hold time. */
  private static final double SLOT_HOLD_SMOOTHING = 0.05;

  private static final double INITIAL_SLOT_HOLD_NANOS = 1e9;

  private final PlacerConfig config;
  private final RandomGenerator random;
  private final LoadTable loadTable;
  private final CacheIndex cacheIndex;
  private final HotPrefixTracker hotPrefixTracker;
  private final SpillState spillState;
  private final PrefixFingerprinter fingerprinter = new PrefixFingerprinter();
  private final CostModel costModel;
  private final ArrivalRate arrivalRate = new ArrivalRate();
  private final HomePrior homePrior = new HomePrior();
  private int routerCount = 1;
  private double slotHoldNanos = INITIAL_SLOT_HOLD_NANOS;

  PlacerState(PlacerConfig config, RandomGenerator random) {
    this.config = config;
    this.random = random;
    loadTable = new LoadTable(config);
    cacheIndex = new CacheIndex(config.cacheEntries(), config.customerFloor());
    hotPrefixTracker = new HotPrefixTracker(config.trackedLevels());
    spillState = new SpillState(config.trackedLevels());
    costModel = new CostModel(this);
  }

  PlacerConfig config() {
    return config;
  }

  RandomGenerator random() {
    return random;
  }

  LoadTable loadTable() {
    return loadTable;
  }

  CacheIndex cacheIndex() {
    return cacheIndex;
  }

  HotPrefixTracker hotPrefixTracker() {
    return hotPrefixTracker;
  }

  ArrivalRate arrivalRate() {
    return arrivalRate;
  }

  HomePrior homePrior() {
    return homePrior;
  }

  SpillState spillState() {
    return spillState;
  }

  PrefixFingerprinter fingerprinter() {
    return fingerprinter;
  }

  CostModel costModel() {
    return costModel;
  }

  /** Returns the number of routers that share the traffic. The load balancer spreads it evenly. */
  int routerCount() {
    return routerCount;
  }

  void setRouterCount(int count) {
    routerCount = Math.max(1, count);
  }

  /**
   * Returns the smoothed time for which a request holds a slot, measured from sending the request
   * to its end.
   */
  double slotHoldNanos() {
    return slotHoldNanos;
  }

  /** Records the hold time of a completed request. */
  void recordSlotHold(long nanos) {
    slotHoldNanos += SLOT_HOLD_SMOOTHING * (nanos - slotHoldNanos);
  }
}
