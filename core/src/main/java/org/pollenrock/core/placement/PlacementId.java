package org.pollenrock.core.placement;

/**
 * Identifies one placement within one {@link Placer}.
 *
 * @param value sequence number of the placement in its placer
 */
public record PlacementId(long value) {}
