package org.pollenrock.core.dispatch;

import java.util.Set;

/**
 * Entry of a request in a {@link DispatchQueue}.
 *
 * @param request the request
 * @param triedServers identities of the servers on which the request failed
 * @param queueDeadlineNanos time at which the request expires from the queue
 * @param sequence position among requests of the same urgency
 */
public record QueueEntry(
    DispatchRequest request, Set<String> triedServers, long queueDeadlineNanos, long sequence) {}
