package org.pollenrock.bench.workload;

/**
 * One request of a trace.
 *
 * @param number position in the trace
 * @param atNanos send time from the start
 * @param kind the kind
 * @param customer index of the customer
 * @param entry index of the router to which the load balancer sends it
 * @param prompt the text, or the body of a plain call
 * @param key idempotency key, or empty
 */
public record TimedRequest(
    int number,
    long atNanos,
    TrafficKind kind,
    int customer,
    int entry,
    Prompt prompt,
    String key) {}
