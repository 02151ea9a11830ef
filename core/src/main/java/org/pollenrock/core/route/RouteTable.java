package org.pollenrock.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: of the routes of its host, the one with the longest prefix. */
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
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    routesByHost.values().forEach(list -> list.sort(LONGEST_FIRST));
    size = routes.size();
  }

  /**
   * Finds a route.
   *
   * @param host host as the caller named it, with or without a port
   * @param target path and query of the request
   * @return the route, if one matches
   */
  public Optional<Route> find(String host, String target) {
    List<Route> routes = routesByHost.get(hostName(host));
    if (routes == null) {
      return Optional.empty();
    }
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (Route route : routes) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Number of routes.
   *
   * @return the number
   */
  public int size() {
    return size;
  }

  private static String hostName(String host) {
    int port = host.lastIndexOf(':');
    String name = port < 0 ? host : host.substring(0, port);
    return name.toLowerCase(Locale.ROOT);
  }
}
