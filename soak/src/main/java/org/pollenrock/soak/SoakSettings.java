package org.pollenrock.soak;

/**
 * What a run plays.
 *
 * @param seed seed of the callers and the faults
 * @param seconds time for which faults are injected, in seconds
 * @param gateways number of processes
 * @param returns whether the store comes back from older copies
 * @param spoiledHeads whether servers begin responses twice
 */
record SoakSettings(long seed, int seconds, int gateways, boolean returns, boolean spoiledHeads) {}
