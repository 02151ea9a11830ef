package org.pollenrock.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.CacheDirectives;
import org.pollenrock.core.route.CustomerAccess;

/**
 * What a backend server is told with a request.
 *
 * @param serverId the only server that may run it
 * @param remainingMillis time after which no answer is of use
 * @param customer the caller's customer; empty for an anonymous request
 * @param engine what an engine is told besides; empty for a plain request
 * @param resumeAfterEvent number of the last event that need not be sent; empty when the caller's
 *     own number holds
 */
public record SendContext(
    String serverId,
    long remainingMillis,
    Optional<CustomerAccess> customer,
    Optional<EngineContext> engine,
    OptionalLong resumeAfterEvent) {
  /**
   * What an engine is told.
   *
   * @param urgency rank from 0, which goes first, to 9
   * @param cache what it is told of the prompt's cache
   */
  public record EngineContext(int urgency, CacheDirectives cache) {}
}
