package org.pollenrock.core.placement;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.DataCentreId;

/**
 * Fixed parameters of a {@link Placer}.
 *
 * @param dataCentre data centre of this router
 * @param roundTripNanos round trip to other data centres, in nanoseconds
 * @param maxHomeRoundTripNanos data centres within this round trip share the homes of a prefix and
 *     need no spill margin; 0 restricts homes to this router's own data centre
 * @param targetUtilisation share of a server that the traffic of one prefix may take, 0 to 1
 * @param maximumHomes most homes of a prefix; also bounds the cost of a decision
 * @param coldHomes servers that the cold prefixes below one level share
 * @param urgentReserveSlots slots of each server that only urgent requests take
 * @param prefillChunkTokens part of a prefill that cannot be interrupted, in tokens
 * @param reportLagNanos age of a report when it arrives: requests sent within this time before are
 *     not in it
 * @param cacheEntries bound of the cache index in entries
 * @param customerFloor entries of the index that each customer keeps
 * @param trackedLevels bound of the tracked prefix levels
 * @param kvTransfer how blocks can be imported, if at all
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
  /** Round trip that is assumed to a data centre without a configured one, in nanoseconds. */
  public static final long DEFAULT_ROUND_TRIP_NANOS = 3_000_000L;

  /**
   * Checks and copies the parts.
   *
   * @throws IllegalArgumentException when a number is out of range
   */
  public PlacerConfig {
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(kvTransfer, "kvTransfer");
    roundTripNanos = Map.copyOf(roundTripNanos);
    if (!(targetUtilisation > 0 && targetUtilisation <= 1)) {
      throw new IllegalArgumentException("target utilisation " + targetUtilisation);
    }
    if (maximumHomes < 1 || coldHomes < 1 || trackedLevels < 1) {
      throw new IllegalArgumentException("homes and tracked levels must be at least 1");
    }
  }

  /**
   * Default parameters.
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
   * The same parameters with other distances.
   *
   * @param roundTrips round trip to other data centres, in nanoseconds
   * @param radiusNanos round trip within which data centres share homes, in nanoseconds
   * @return a copy
   */
  public PlacerConfig withRoundTrips(Map<DataCentreId, Long> roundTrips, long radiusNanos) {
    return new PlacerConfig(
        dataCentre,
        roundTrips,
        radiusNanos,
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
   * The same parameters with another bound of the cache index.
   *
   * @param entries bound in entries
   * @param floor entries that each customer keeps
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
   * The same parameters with KV import.
   *
   * @param transfer how blocks can be imported
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
   * Round trip to a data centre.
   *
   * @param other the data centre
   * @return nanoseconds, 0 for this router's own
   */
  public long roundTripNanos(DataCentreId other) {
    return other.equals(dataCentre)
        ? 0
        : roundTripNanos.getOrDefault(other, DEFAULT_ROUND_TRIP_NANOS);
  }
}
