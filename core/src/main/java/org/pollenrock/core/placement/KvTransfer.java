package org.pollenrock.core.placement;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;

/**
 * How cached blocks can be moved instead of computed again.
 *
 * @param store name of the KV store, if there is one
 * @param fromEngines true when engines export blocks to each other
 * @param bytesPerBlock size of one block of KV cache
 * @param bytesPerSecond transfer rate
 * @param latencyNanos time before the first byte, in nanoseconds
 */
public record KvTransfer(
    Optional<BackendServerId> store,
    boolean fromEngines,
    long bytesPerBlock,
    double bytesPerSecond,
    long latencyNanos) {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException when a size or rate is not positive
   */
  public KvTransfer {
    Objects.requireNonNull(store, "store");
    if (bytesPerBlock <= 0 || !(bytesPerSecond > 0) || latencyNanos < 0) {
      throw new IllegalArgumentException("sizes and rates of a KV transfer must be positive");
    }
  }

  /**
   * Expected time to import blocks.
   *
   * @param blocks how many
   * @return nanoseconds
   */
  public double importNanos(int blocks) {
    return latencyNanos + blocks * (double) bytesPerBlock / bytesPerSecond * NANOS_PER_SECOND;
  }
}
