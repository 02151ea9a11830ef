/**
 * Passes opaque HTTP requests and event streams on to backend servers.
 *
 * <p>All sockets, timers and state belong to one event loop; only the log has a thread of its own.
 * Names on the wire are known to the implementations of {@link
 * org.pollenrock.gateway.CallerProtocol} and {@link org.pollenrock.gateway.ServerProtocol}.
 */
package org.pollenrock.gateway;
