package org.pollenrock.core.weights;

import org.pollenrock.core.fleet.Backend;

/**
 * Order to an engine to load weights as soon as its running requests have finished.
 *
 * @param backend the engine
 * @param model name of the model
 * @param version version to load
 * @param expectedOrderCount number of orders that the engine must have accepted before; the engine
 *     refuses the order if it accepted a different number
 * @param fencingNumber fencing number of the lease under which the order is sent
 */
public record LoadOrder(
    Backend backend, String model, long version, long expectedOrderCount, long fencingNumber) {}
