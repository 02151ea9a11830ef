package org.pollenrock.gateway;

import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;

/** Tells the other instances that a server has read the prompt of a request. */
final class PromptReadNews {
  private PromptReadNews() {}

  /** Records and announces the parts that the server caches now, and a save to the store. */
  static void announce(
      GatewayComponents components,
      DispatchRequest request,
      SendContext context,
      Backend server,
      long nowNanos) {
    components
        .gossip()
        .announcePrefixRead(
            components.selector().recordPromptRead(request, server, nowNanos), server);
    context
        .engine()
        .map(SendContext.Engine::cache)
        .filter(cache -> cache.saveTo().isPresent())
        .ifPresent(
            cache -> {
              long key = PrefixStoreView.key(request.prompt().orElseThrow(), cache.salt());
              components.prefixStore().markStored(key);
              components.gossip().announcePrefixStored(key);
            });
  }
}
