package org.pollenrock.core.limits;

/**
 * Bounds of an admission queue.
 *
 * @param urgentReserve slots that {@code BATCH} requests leave free
 * @param maxQueuedPerCustomer most waiting requests of one customer
 * @param maxQueued most waiting requests in total
 * @param initialServiceNanos expected time of a request in its slot before any was measured
 */
public record AdmissionSettings(
    int urgentReserve, int maxQueuedPerCustomer, int maxQueued, long initialServiceNanos) {
  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public AdmissionSettings {
    if (urgentReserve < 0) {
      throw new IllegalArgumentException("urgentReserve must not be negative: " + urgentReserve);
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
