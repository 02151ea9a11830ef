/**
 * Which connections to a peer are believed alive.
 *
 * <p>A connection can stop delivering data for ever without being closed, in either direction. Each
 * exchange therefore has deadlines for progress in both directions. A missed deadline closes the
 * connection, marks older idle connections to the peer suspect and probes the peer on a fresh
 * connection; the probe decides whether the connections or the server are at fault. The router
 * reports events to {@link org.pollenrock.core.connection.ConnectionMonitor} and carries out the
 * returned actions.
 */
package org.pollenrock.core.connection;
