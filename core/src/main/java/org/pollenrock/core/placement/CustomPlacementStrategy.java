package org.pollenrock.core.placement;

/**
 * Extension point for strategies outside this package, such as the strategy with full knowledge
 * that the benchmark uses as an upper bound.
 */
public non-sealed interface CustomPlacementStrategy extends PlacementStrategy {}
