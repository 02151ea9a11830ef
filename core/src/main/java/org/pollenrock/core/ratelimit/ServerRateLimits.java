package org.pollenrock.core.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;

/** The request rates that servers have named in their responses. */
public final class ServerRateLimits {
  private final Map<Backend, RateNotice.Limited> limits = new HashMap<>();

  /** Creates the limits of servers that have named none. */
  public ServerRateLimits() {}

  /**
   * Records the notice of a response.
   *
   * @param server the server
   * @param notice the notice
   * @return whether the server begins or ceases to name a limit
   */
  public boolean recordNotice(Backend server, RateNotice notice) {
    return switch (notice) {
      case RateNotice.Limited limited -> limits.put(server, limited) == null;
      case RateNotice.Unlimited() -> limits.remove(server) != null;
      case RateNotice.Unknown() -> false;
    };
  }

  /**
   * Returns the number of servers that name a limit.
   *
   * @return the number
   */
  public int limitedServerCount() {
    return limits.size();
  }
}
