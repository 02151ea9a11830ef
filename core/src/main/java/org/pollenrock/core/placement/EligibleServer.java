package org.pollenrock.core.placement;

import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A server that can take a request, under one weights version.
 *
 * @param load load of the server
 * @param weights the version that it would serve the request with
 * @param local true when it shares the homes of this router's prefixes
 * @param roundTripNanos round trip to its data centre, in nanoseconds
 */
public record EligibleServer(
    ServerLoad load, WeightsVersion weights, boolean local, long roundTripNanos) {
  /**
   * The server.
   *
   * @return its name
   */
  public BackendServerId server() {
    return load.server();
  }
}
