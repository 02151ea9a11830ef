package org.pollenrock.bench.history;

/**
 * Settings revision that a router reported.
 *
 * @param router name of the router instance
 * @param revision offset of the newest accepted change
 * @param atNanos time from the start of the trace
 */
public record RevisionSample(String router, long revision, long atNanos) {}
