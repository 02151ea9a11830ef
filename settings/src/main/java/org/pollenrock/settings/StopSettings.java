package org.pollenrock.settings;

/**
 * How a router stops.
 *
 * @param drainDelayNanos time for which it serves after it reports that it is not ready, in
 *     nanoseconds
 * @param hardStopAfterNanos time after which the remaining streams are interrupted, in nanoseconds
 */
public record StopSettings(long drainDelayNanos, long hardStopAfterNanos) {}
