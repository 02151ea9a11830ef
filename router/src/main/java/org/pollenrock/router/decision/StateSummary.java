package org.pollenrock.router.decision;

import java.util.List;

/**
 * What operators see of the decision state; bounded, without prompts and keys.
 *
 * @param servers known servers, at most {@link #MAX_SERVERS}
 * @param routers routers that share the limits
 * @param waiting requests that wait for a slot
 * @param running requests that hold a slot
 * @param placed placements that have not ended
 * @param cacheEntries entries of the cache index
 * @param ejected servers that are ejected
 */
public record StateSummary(
    List<Server> servers,
    int routers,
    int waiting,
    int running,
    int placed,
    int cacheEntries,
    int ejected) {
  /** Most servers that are listed. */
  public static final int MAX_SERVERS = 1_000;

  /**
   * A server.
   *
   * @param id name
   * @param role role
   * @param dataCentre where it runs
   * @param incarnation last known incarnation, 0 when it has not reported
   * @param models models that it serves
   * @param queueTokens estimated prompt tokens that wait on it
   * @param inFlight own requests that it runs
   * @param accepting whether it takes new work
   * @param suspect whether it stopped answering
   */
  public record Server(
      String id,
      String role,
      String dataCentre,
      long incarnation,
      List<String> models,
      double queueTokens,
      int inFlight,
      boolean accepting,
      boolean suspect) {}
}
