package org.pollenrock.core.connection;

/**
 * Identifier of a connection, unique within the lifetime of its {@link ConnectionMonitor}.
 *
 * @param value numeric value of the identifier
 */
public record ConnectionId(long value) {}
