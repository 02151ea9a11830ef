package org.pollenrock.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.CacheDirectives;
import org.pollenrock.core.route.CustomerAccess;

/**
 * Metadata that accompanies a request to a backend server.
 *
 * @param serverId identifier of the only server that may run the request
 * @param remainingMillis time left until the deadline of the request, after which a response is of
 *     no use
 * @param customer customer of the caller; empty for an anonymous request
 * @param engine further metadata for an engine; empty for a plain request
 * @param resumeAfterEvent number of the last event that this gateway has relayed, after which the
 *     server continues the stream; empty when the number in the caller's own headers applies
 */
public record SendContext(
    String serverId,
    long remainingMillis,
    Optional<CustomerAccess> customer,
    Optional<Engine> engine,
    OptionalLong resumeAfterEvent) {
  /**
   * Metadata for an engine.
   *
   * @param urgency urgency from 0, which is scheduled first, to 9
   * @param cache directives for the cached parts of the prompt
   */
  public record Engine(int urgency, CacheDirectives cache) {}
}
