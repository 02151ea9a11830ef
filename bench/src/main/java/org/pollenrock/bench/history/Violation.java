package org.pollenrock.bench.history;

/**
 * A place where a history breaks an invariant.
 *
 * @param invariant name of the invariant
 * @param detail what was seen
 */
public record Violation(String invariant, String detail) {}
