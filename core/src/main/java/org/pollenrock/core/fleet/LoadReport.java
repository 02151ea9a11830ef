package org.pollenrock.core.fleet;

/**
 * Load that a server told with an answer.
 *
 * @param running requests that run
 * @param waiting requests in its queue
 * @param slots requests that it runs at once
 */
public record LoadReport(int running, int waiting, int slots) {}
