package org.pollenrock.core.dispatch;

import java.util.Set;

/**
 * Request that waits for a server.
 *
 * @param request the request
 * @param triedServers servers that failed it before
 * @param queueDeadlineNanos time at which it is refused
 * @param sequence its place among requests of the same urgency
 */
public record QueueEntry(
    DispatchRequest request, Set<String> triedServers, long queueDeadlineNanos, long sequence) {}
