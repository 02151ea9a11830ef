/**
 * Detection of connections that no longer deliver data.
 *
 * <p>A connection can stop delivering data permanently without being closed, in either direction.
 * Each exchange therefore has deadlines for progress in both directions. A missed deadline closes
 * the connection, marks the idle connections to the same peer suspect and probes the peer on a new
 * connection. The outcome of the probe shows whether the old connections or the server are at
 * fault. The router reports events to {@link org.pollenrock.core.connection.ConnectionMonitor} and
 * carries out the returned actions.
 */
package org.pollenrock.core.connection;
