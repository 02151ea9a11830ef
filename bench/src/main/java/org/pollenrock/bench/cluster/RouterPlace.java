package org.pollenrock.bench.cluster;

/**
 * Identity and surroundings of a router in a test bed.
 *
 * @param name name of the instance
 * @param incarnation number of this life
 * @param dataCentre its data centre
 * @param logAddress address at which it reaches the log
 * @param listAddress address at which it reaches the instance list
 * @param ioThreads number of its event loops
 */
record RouterPlace(
    String name,
    long incarnation,
    String dataCentre,
    String logAddress,
    String listAddress,
    int ioThreads) {}
