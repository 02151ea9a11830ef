package org.pollenrock.core.limits;

/**
 * Settings of an {@link AdmissionQueue}.
 *
 * @param reservedSlots number of slots that {@code BATCH} requests may not use
 * @param maxQueuedPerCustomer maximum number of waiting requests of one customer
 * @param maxQueued maximum number of waiting requests in total
 * @param initialServiceNanos assumed time for which a request occupies its slot, used until
 *     requests have finished
 */
public record AdmissionSettings(
    int reservedSlots, int maxQueuedPerCustomer, int maxQueued, long initialServiceNanos) {
  /**
   * Validates the settings.
   *
   * @throws IllegalArgumentException when a value is out of range
   */
  public AdmissionSettings {
    if (reservedSlots < 0) {
      throw new IllegalArgumentException("reservedSlots must not be negative: " + reservedSlots);
    }
    if (maxQueuedPerCustomer < 1 || maxQueued < 1) {
      throw new IllegalArgumentException(
          "maxQueuedPerCustomer and maxQueued must be positive: "
              + maxQueuedPerCustomer
              + ", "
              + maxQueued);
    }
    if (initialServiceNanos <= 0) {
      throw new IllegalArgumentException(
          "initialServiceNanos must be positive: " + initialServiceNanos);
    }
  }
}
