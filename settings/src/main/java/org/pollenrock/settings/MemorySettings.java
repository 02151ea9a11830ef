package org.pollenrock.settings;

/**
 * Bounds on what a router keeps in memory.
 *
 * @param cacheEntries greatest number of cached blocks that it remembers
 * @param hotPrefixes greatest number of prefixes whose rate it tracks
 * @param claimBytes bytes for outcomes of claims
 * @param connectionBytes bytes buffered for one connection
 * @param requestBytes bytes of request bodies and buffered answers together
 */
public record MemorySettings(
    int cacheEntries, int hotPrefixes, long claimBytes, int connectionBytes, long requestBytes) {}
