package org.pollenrock.standin.engine;

import java.util.List;

/**
 * A request that the engine began to run.
 *
 * @param server name of the server
 * @param attempt the X-Attempt-Id header
 * @param cacheSalt the cache_salt of the request
 * @param incarnation incarnation that ran it
 * @param version weights version that ran it
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens that were cached
 * @param missedKeys keys of the prompt's blocks that had to be computed, as text
 * @param startedNanos monotonic time
 */
public record EngineExecution(
    String server,
    String attempt,
    String cacheSalt,
    long incarnation,
    String version,
    int promptTokens,
    int cachedTokens,
    List<String> missedKeys,
    long startedNanos) {}
