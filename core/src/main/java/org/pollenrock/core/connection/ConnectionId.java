package org.pollenrock.core.connection;

/**
 * Number of a connection, unique within its monitor's lifetime.
 *
 * @param value the number
 */
public record ConnectionId(long value) {}
