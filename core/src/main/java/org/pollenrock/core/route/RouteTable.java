package org.pollenrock.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest matching
 * path prefix.
 */
public final class RouteTable {
  private static final Comparator<Route> LONGEST_FIRST =
      Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final int size;

  /**
   * Creates a table.
   *
   * @param routes the routes
   */
  public RouteTable(List<Route> routes) {
    for (Route route : routes) {
      routesByHost.computeIfAbsent(toLowerCase(route.host()), host -> new ArrayList<>()).add(route);
    }
    routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(LONGEST_FIRST));
    size = routes.size();
  }

  /**
   * Finds the route of a request.
   *
   * @param host host from the request, with or without a port
   * @param target path and query of the request
   * @return the route, if one matches
   */
  public Optional<Route> find(String host, String target) {
    List<Route> routes = routesByHost.get(hostName(host));
    if (routes == null) {
      return Optional.empty();
    }
    int queryStart = target.indexOf('?');
    String path = queryStart < 0 ? target : target.substring(0, queryStart);
    for (Route route : routes) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the number of routes.
   *
   * @return the number of routes
   */
  public int size() {
    return size;
  }

  private static String hostName(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return toLowerCase(name);
  }

  /** Returns a name with the letters of ASCII in lower case; other letters differ by case. */
  private static String toLowerCase(String name) {
    StringBuilder lower = new StringBuilder(name);
    for (int i = 0; i < name.length(); i++) {
      char letter = name.charAt(i);
      if (letter >= 'A' && letter <= 'Z') {
        lower.setCharAt(i, (char) (letter - 'A' + 'a'));
      }
    }
    return lower.toString();
  }
}
