/**
 * Proxies HTTP requests and event streams of callers to backend servers, without interpreting their
 * bodies.
 *
 * <p>All sockets, timers and state belong to one event loop; only the log has its own thread. Only
 * the implementations of {@link org.pollenrock.gateway.CallerProtocol} and {@link
 * org.pollenrock.gateway.ServerProtocol} know the names of headers and fields on the wire.
 */
package org.pollenrock.gateway;
