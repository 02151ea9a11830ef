package org.pollenrock.core.dispatch;

import java.util.Set;

/**
 * Request that waits for a server.
 *
 * @param request the request
 * @param tried servers that failed it before
 * @param giveUpNanos time at which it is refused
 * @param order its place among requests of the same urgency
 */
public record QueueEntry(
    DispatchRequest request, Set<String> tried, long giveUpNanos, long order) {}
