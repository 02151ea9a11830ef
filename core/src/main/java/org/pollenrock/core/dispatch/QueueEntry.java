package org.pollenrock.core.dispatch;

import java.util.Set;

/**
 * Entry of a request in a {@link DispatchQueue}.
 *
 * @param request the request
 * @param triedServers identities of the servers on which the request failed
 * @param resend whether the next send counts against the retry budget
 * @param queueDeadlineNanos time at which the request expires from the queue
 * @param sequence position among the requests in the order in which they came into the queue
 */
public record QueueEntry(
    DispatchRequest request,
    Set<String> triedServers,
    boolean resend,
    long queueDeadlineNanos,
    long sequence) {}
