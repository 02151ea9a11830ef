package org.pollenrock.bench.history;

import org.pollenrock.standin.engine.EngineExecution;

/**
 * A request that an engine ran, with what the whole cluster knew at that moment.
 *
 * @param execution what the engine recorded
 * @param wastedTokens tokens that it computed although another live engine had them cached
 * @param atNanos time from the start of the trace
 */
public record EngineRun(EngineExecution execution, int wastedTokens, long atNanos) {}
