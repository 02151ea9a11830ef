package org.pollenrock.core.placement;

/** Extension point for strategies outside this package, such as the benchmark's upper bound. */
public non-sealed interface CustomPlacementStrategy extends PlacementStrategy {}
