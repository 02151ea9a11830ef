package org.pollenrock.bench.cluster;

/**
 * A backend server of a test bed.
 *
 * @param name name of the server
 * @param dataCentre its data centre
 * @param server the stand-in
 * @param <T> type of the stand-in
 */
public record ServiceNode<T>(String name, String dataCentre, T server) {}
