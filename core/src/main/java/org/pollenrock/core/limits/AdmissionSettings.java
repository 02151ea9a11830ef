package org.pollenrock.core.limits;

/**
 * Bounds of an admission queue.
 *
 * @param reservedSlots slots that {@code BATCH} requests leave free
 * @param maxQueuedPerCustomer most waiting requests of one customer
 * @param maxQueued most waiting requests in total
 * @param initialServiceNanos expected time of a request in its slot before any was measured
 */
public record AdmissionSettings(
    int reservedSlots, int maxQueuedPerCustomer, int maxQueued, long initialServiceNanos) {
  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public AdmissionSettings {
    if (reservedSlots < 0) {
      throw new IllegalArgumentException("reservedSlots must not be negative: " + reservedSlots);
    }
    if (maxQueuedPerCustomer < 1 || maxQueued < 1) {
      throw new IllegalArgumentException(
          "queue bounds must be positive: " + maxQueuedPerCustomer + ", " + maxQueued);
    }
    if (initialServiceNanos <= 0) {
      throw new IllegalArgumentException(
          "initialServiceNanos must be positive: " + initialServiceNanos);
    }
  }
}
