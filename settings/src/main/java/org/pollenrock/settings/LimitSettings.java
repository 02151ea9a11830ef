package org.pollenrock.settings;

/**
 * Bounds on sizes, counts and times of caller requests.
 *
 * @param connections greatest number of caller connections
 * @param lineBytes greatest size of the first line and of one header line
 * @param headerBytes greatest size of all headers
 * @param bodyBytes greatest size of a request body
 * @param eventBytes greatest size of one event of a stream
 * @param queuedRequests greatest number of requests that wait for admission
 * @param queuedPerCustomer greatest number of requests of one customer that wait
 * @param readTimeoutNanos longest time in which a caller sends a request completely, in nanoseconds
 * @param writeTimeoutNanos longest time without progress when a caller reads slowly, in nanoseconds
 * @param idleTimeoutNanos time after which an idle caller connection is closed, in nanoseconds
 * @param connectTimeoutNanos longest time to connect to a backend server, in nanoseconds
 */
public record LimitSettings(
    int connections,
    int lineBytes,
    int headerBytes,
    int bodyBytes,
    int eventBytes,
    int queuedRequests,
    int queuedPerCustomer,
    long readTimeoutNanos,
    long writeTimeoutNanos,
    long idleTimeoutNanos,
    long connectTimeoutNanos) {}
