package org.pollenrock.core.dispatch;

/**
 * How far a request has come when a send fails.
 *
 * @param repeatable whether it may run more than once
 * @param mayHaveRun whether an earlier send may have run
 * @param runs servers on which it ran or may have run, the failed send included
 * @param maxAttempts most servers on which it may run
 * @param refusals servers that refused it
 * @param relayed whether part of an answer has been passed on
 * @param resumable whether the rest of the answer may come from another server
 */
public record SendState(
    boolean repeatable,
    boolean mayHaveRun,
    int runs,
    int maxAttempts,
    int refusals,
    boolean relayed,
    boolean resumable) {}
