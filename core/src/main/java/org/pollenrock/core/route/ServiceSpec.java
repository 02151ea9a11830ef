package org.pollenrock.core.route;

/**
 * A service that requests are routed to.
 *
 * @param name name of the service
 * @param healthPath path of the health check on the servers of the service, as it is written to a
 *     request
 */
public record ServiceSpec(String name, String healthPath) {}
