package org.pollenrock.core.placement;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.DataCentreId;

/**
 * Fixed parameters of a {@link Placer}.
 *
 * @param dataCentre data centre of this router
 * @param roundTripNanos round trip to each other data centre, in nanoseconds
 * @param maxHomeRoundTripNanos data centres within this round trip share the homes of a prefix and
 *     need no spill margin; with 0, homes are in this router's own data centre only
 * @param targetUtilisation share of a server that the traffic of one prefix may use, above 0 and at
 *     most 1
 * @param maximumHomes maximum number of homes of a prefix; also bounds the time of a decision
 * @param coldHomes number of servers that the uncached prefixes below one level share
 * @param urgentReserveSlots number of slots of each server that are reserved for urgent requests
 * @param prefillChunkTokens part of a prefill that cannot be interrupted, in tokens
 * @param reportLagNanos assumed age of a report when it arrives, in nanoseconds; requests sent
 *     within this time before the arrival are not included in the report
 * @param cacheEntries maximum number of entries of the cache index
 * @param customerFloor number of entries of a customer that other customers cannot evict
 * @param trackedLevels maximum number of prefix levels whose request rates and spills are tracked
 * @param kvTransfer parameters of block imports; empty when blocks cannot be imported
 */
public record PlacerConfig(
    DataCentreId dataCentre,
    Map<DataCentreId, Long> roundTripNanos,
    long maxHomeRoundTripNanos,
    double targetUtilisation,
    int maximumHomes,
    int coldHomes,
    int urgentReserveSlots,
    int prefillChunkTokens,
    long reportLagNanos,
    int cacheEntries,
    int customerFloor,
    int trackedLevels,
    Optional<KvTransfer> kvTransfer) {
  /** Assumed round trip to a data centre for which none is configured, in nanoseconds. */
  public static final long DEFAULT_ROUND_TRIP_NANOS = 3_000_000L;

  /**
   * Validates and copies the components.
   *
   * @throws IllegalArgumentException when the utilisation, a number of homes or the number of
   *     tracked levels is out of range
   */
  public PlacerConfig {
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(kvTransfer, "kvTransfer");
    roundTripNanos = Map.copyOf(roundTripNanos);
    if (!(targetUtilisation > 0 && targetUtilisation <= 1)) {
      throw new IllegalArgumentException(
          "target utilisation must be above 0 and at most 1: " + targetUtilisation);
    }
    if (maximumHomes < 1 || coldHomes < 1 || trackedLevels < 1) {
      throw new IllegalArgumentException(
          "maximum homes, cold homes and tracked levels must be at least 1");
    }
  }

  /**
   * Returns the default parameters.
   *
   * @param dataCentre data centre of the router
   * @return the configuration
   */
  public static PlacerConfig of(DataCentreId dataCentre) {
    return new PlacerConfig(
        dataCentre,
        Map.of(),
        0,
        0.6,
        16,
        2,
        1,
        2_048,
        50_000_000L,
        200_000,
        1_000,
        8_192,
        Optional.empty());
  }

  /**
   * Returns a copy with other round trips.
   *
   * @param roundTrips round trip to each other data centre, in nanoseconds
   * @param maxHomeNanos round trip up to which data centres share homes, in nanoseconds
   * @return a copy
   */
  public PlacerConfig withRoundTrips(Map<DataCentreId, Long> roundTrips, long maxHomeNanos) {
    return new PlacerConfig(
        dataCentre,
        roundTrips,
        maxHomeNanos,
        targetUtilisation,
        maximumHomes,
        coldHomes,
        urgentReserveSlots,
        prefillChunkTokens,
        reportLagNanos,
        cacheEntries,
        customerFloor,
        trackedLevels,
        kvTransfer);
  }

  /**
   * Returns a copy with another size of the cache index.
   *
   * @param entries maximum number of entries
   * @param floor number of entries of a customer that other customers cannot evict
   * @return a copy
   */
  public PlacerConfig withCache(int entries, int floor) {
    return new PlacerConfig(
        dataCentre,
        roundTripNanos,
        maxHomeRoundTripNanos,
        targetUtilisation,
        maximumHomes,
        coldHomes,
        urgentReserveSlots,
        prefillChunkTokens,
        reportLagNanos,
        entries,
        floor,
        trackedLevels,
        kvTransfer);
  }

  /**
   * Returns a copy that allows block imports.
   *
   * @param transfer parameters of block imports
   * @return a copy
   */
  public PlacerConfig withKvTransfer(KvTransfer transfer) {
    return new PlacerConfig(
        dataCentre,
        roundTripNanos,
        maxHomeRoundTripNanos,
        targetUtilisation,
        maximumHomes,
        coldHomes,
        urgentReserveSlots,
        prefillChunkTokens,
        reportLagNanos,
        cacheEntries,
        customerFloor,
        trackedLevels,
        Optional.of(transfer));
  }

  /**
   * Returns the round trip to a data centre.
   *
   * @param other the data centre
   * @return round trip in nanoseconds, 0 for this router's own data centre
   */
  public long roundTripNanos(DataCentreId other) {
    return other.equals(dataCentre)
        ? 0
        : roundTripNanos.getOrDefault(other, DEFAULT_ROUND_TRIP_NANOS);
  }
}
