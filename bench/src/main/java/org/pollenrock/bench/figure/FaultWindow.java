package org.pollenrock.bench.figure;

/**
 * When the faults of a run lasted.
 *
 * @param startNanos time from the start of the trace to their begin
 * @param endNanos time from the start of the trace to their end
 */
public record FaultWindow(long startNanos, long endNanos) {}
