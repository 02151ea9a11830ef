package org.pollenrock.core.weights;

import org.pollenrock.core.fleet.Backend;

/**
 * Order to an engine to load weights once its running requests have finished.
 *
 * @param backend the engine
 * @param model the model
 * @param version version to load
 * @param ordersBefore orders that the engine accepted before; it refuses this one at another count
 * @param fence fencing number
 */
public record LoadOrder(
    Backend backend, String model, long version, long ordersBefore, long fence) {}
