package org.pollenrock.bench.history;

/**
 * A backend server that began to leave.
 *
 * @param server name of the server
 * @param atNanos time from the start of the trace
 */
public record ServerDeparture(String server, long atNanos) {}
