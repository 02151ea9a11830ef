package org.pollenrock.router.decision;

/**
 * Longest silence of an exchange.
 *
 * @param firstNanos longest time to the first byte
 * @param betweenNanos longest time between two parts after that
 */
public record ProgressDeadline(long firstNanos, long betweenNanos) {}
