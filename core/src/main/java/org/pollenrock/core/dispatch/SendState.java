package org.pollenrock.core.dispatch;

/**
 * Progress of a request at the time of a failed send.
 *
 * @param repeatable whether the request may run more than once
 * @param mayHaveRun whether the request may have run on an earlier send
 * @param runs number of servers on which the request ran or may have run, including the failed send
 * @param maxAttempts maximum number of servers on which the request may run
 * @param refusals number of servers that refused the request
 * @param relayed whether part of a response has been relayed to the caller
 * @param resumable whether another server may continue the response
 */
public record SendState(
    boolean repeatable,
    boolean mayHaveRun,
    int runs,
    int maxAttempts,
    int refusals,
    boolean relayed,
    boolean resumable) {}
