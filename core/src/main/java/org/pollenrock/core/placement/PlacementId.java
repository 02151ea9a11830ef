package org.pollenrock.core.placement;

/**
 * Identifies one placement within one {@link Placer}.
 *
 * @param value counter of the placer
 */
public record PlacementId(long value) {}
