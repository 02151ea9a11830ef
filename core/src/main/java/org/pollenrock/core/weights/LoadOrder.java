package org.pollenrock.core.weights;

import org.pollenrock.core.fleet.Backend;

/**
 * Order to an engine to load weights once its running requests have finished.
 *
 * @param backend the engine
 * @param model the model
 * @param version version to load
 * @param expectedOrderCount orders that the engine accepted before; it refuses this one at another
 *     count
 * @param fencingNumber fencing number
 */
public record LoadOrder(
    Backend backend, String model, long version, long expectedOrderCount, long fencingNumber) {}
