package org.pollenrock.core.dispatch;

import java.util.OptionalInt;
import org.pollenrock.core.fleet.Backend;

/**
 * Costs of servers in expected time, and the load that each of them takes well.
 *
 * <p>Counts of requests and tokens are multiplied by the time that the server takes relative to the
 * usual time of its service. The product is exact for servers that are alike.
 *
 * @param settings parameters of the selection
 */
record ServerCosts(SelectorSettings settings) {
  /**
   * Maximum number of requests on a server, as a multiple of its slots, which are the requests that
   * it runs at once.
   */
  private static final double MAX_LOAD_PER_SLOT = 1.5;

  /** Number of slots assumed for a server that has not reported its number. */
  private static final int DEFAULT_SLOTS = 4;

  /** Number of requests above a learned limit that show whether the server has recovered. */
  private static final int TRIAL_REQUESTS = 1;

  /** Returns the time that a server is expected to take now, relative to the usual time. */
  static double timeFactor(Backend server, long nowNanos) {
    return server.speed().factor() * server.pace().factor(nowNanos);
  }

  /**
   * Returns the cost of a plain request: the share of the server's capacity in use including the
   * new request, as time. A server in another data centre counts as if all its slots were in use in
   * addition.
   */
  double plainCost(Backend server, long nowNanos) {
    double used = (server.load(nowNanos) + 1) / capacity(server) * timeFactor(server, nowNanos);
    return isLocal(server) ? used : used + 1;
  }

  /**
   * Returns the cost of the work queued on a server before a new prompt, in tokens read by a usual
   * server.
   *
   * @param backlogTokens the work in tokens, see {@link #backlogTokens}
   * @param remoteTokens cost of sending a request to another data centre, in tokens
   */
  double waitCost(Backend server, double backlogTokens, double timeFactor, double remoteTokens) {
    return backlogTokens * timeFactor + (isLocal(server) ? 0 : remoteTokens);
  }

  /** Returns the work queued on a server before a new prompt, in tokens. */
  double backlogTokens(Backend server, double meanPromptTokens, long nowNanos) {
    return server.unreadTokens(meanPromptTokens, nowNanos)
        + server.load(nowNanos) * settings.runningRequestCostTokens();
  }

  /** Returns whether a server should get no further request. */
  static boolean isFull(Backend server, long nowNanos) {
    return server.load(nowNanos) >= maxLoad(server);
  }

  /** Returns the number of requests that a server runs concurrently. */
  static int slots(Backend server) {
    return server.slots() > 0 ? server.slots() : DEFAULT_SLOTS;
  }

  private static double maxLoad(Backend server) {
    OptionalInt limit = server.speed().limit();
    if (limit.isPresent()) {
      return Math.min(limit.getAsInt() + TRIAL_REQUESTS, MAX_LOAD_PER_SLOT * slots(server));
    }
    // Requests in the queue of a slow server wait longer.
    double queued = (MAX_LOAD_PER_SLOT - 1) * slots(server);
    return slots(server) + queued / Math.max(1, server.speed().factor());
  }

  private static int capacity(Backend server) {
    return Math.min(slots(server), server.speed().limit().orElse(Integer.MAX_VALUE));
  }

  private boolean isLocal(Backend server) {
    return server.entry().dataCentre().equals(settings.dataCentre());
  }
}
