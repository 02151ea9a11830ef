package org.pollenrock.standin.list;

/**
 * An entry of the instance list.
 *
 * @param id name of the instance
 * @param kind model-server, plain-server or router
 * @param service name of the plain service, or empty
 * @param address IP number and port
 * @param dataCentre name of the data centre
 * @param state live or leaving
 */
public record ListedInstance(
    String id, String kind, String service, String address, String dataCentre, String state) {}
