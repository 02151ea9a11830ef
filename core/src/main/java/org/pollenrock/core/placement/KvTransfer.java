package org.pollenrock.core.placement;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;

/**
 * Parameters of the transfer of cached blocks between servers, an alternative to computing the
 * blocks again.
 *
 * @param store id of the KV store, if there is one
 * @param fromEngines true when engines export blocks to each other
 * @param bytesPerBlock size of one block of KV cache, in bytes
 * @param bytesPerSecond transfer rate
 * @param latencyNanos time until the first byte arrives, in nanoseconds
 */
public record KvTransfer(
    Optional<BackendServerId> store,
    boolean fromEngines,
    long bytesPerBlock,
    double bytesPerSecond,
    long latencyNanos) {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException when the size or rate is not positive or the latency is
   *     negative
   */
  public KvTransfer {
    Objects.requireNonNull(store, "store");
    if (bytesPerBlock <= 0 || !(bytesPerSecond > 0) || latencyNanos < 0) {
      throw new IllegalArgumentException(
          "block size and rate of a KV transfer must be positive, its latency not negative");
    }
  }

  /**
   * Returns the expected duration of an import.
   *
   * @param blocks number of blocks to import
   * @return duration in nanoseconds
   */
  public double importNanos(int blocks) {
    return latencyNanos + blocks * (double) bytesPerBlock / bytesPerSecond * NANOS_PER_SECOND;
  }
}
