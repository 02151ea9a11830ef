package org.pollenrock.core.route;

/**
 * Service that requests are routed to.
 *
 * @param name name of the service
 * @param maxConnections most connections that one of its servers accepts from all callers
 * @param engine whether its servers are engines, which cache prompts
 * @param cacheTokens tokens that the memory of one engine holds; 0 for a plain service
 * @param slots requests that one engine runs at once; 0 for a plain service, whose servers tell it
 */
public record ServiceSpec(
    String name, int maxConnections, boolean engine, long cacheTokens, int slots) {}
