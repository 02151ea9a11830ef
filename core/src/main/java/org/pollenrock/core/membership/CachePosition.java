package org.pollenrock.core.membership;

/**
 * Position in the cache events of a server.
 *
 * @param incarnation incarnation of the server's cache, whose contents are lost when it changes
 * @param next number of the next event to read
 */
public record CachePosition(long incarnation, long next) {}
