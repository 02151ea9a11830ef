package org.pollenrock.core.fleet;

/**
 * Load of a backend server as reported in the headers of its responses.
 *
 * @param running number of requests that the server is running
 * @param waiting number of requests in the server's queue
 * @param slots number of requests that the server runs concurrently; 0 if unknown
 */
public record LoadReport(int running, int waiting, int slots) {}
