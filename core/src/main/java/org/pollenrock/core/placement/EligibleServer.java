package org.pollenrock.core.placement;

import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A server that can serve a request with one weights version.
 *
 * <p>A server that serves several weights versions of the model has one entry for each version.
 *
 * @param load load of the server
 * @param weights the weights version that the server would use
 * @param local true when the server can be a home of this router's prefixes: it is in the router's
 *     own data centre or in one that is close enough
 * @param roundTripNanos round trip to the server's data centre, in nanoseconds
 */
public record EligibleServer(
    ServerLoad load, WeightsVersion weights, boolean local, long roundTripNanos) {
  /**
   * Returns the id of the server.
   *
   * @return the server id
   */
  public BackendServerId server() {
    return load.server();
  }
}
