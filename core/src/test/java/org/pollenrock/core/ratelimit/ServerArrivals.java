package org.pollenrock.core.ratelimit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Requests that reached servers, and the rule on their number. */
final class ServerArrivals {
  private static final long WINDOW_NANOS = 4_000_000_000L;
  private static final double WINDOW_SECONDS = 4;
  private static final int SLACK = 5;
  private static final double MAX_EXCESS = 1.5;

  /**
   * Request that reached a server.
   *
   * @param nanos time of its arrival
   * @param counted whether its instance knew of the limit and had no fault
   */
  private record Arrival(long nanos, boolean counted) {
    private boolean isBetween(long from, long to) {
      return nanos >= from && nanos < to;
    }
  }

  private final Map<String, List<Arrival>> arrivals = new HashMap<>();

  /** Adds a request, which must be later than all before. */
  void add(String server, long nanos, boolean counted) {
    arrivals.computeIfAbsent(server, added -> new ArrayList<>()).add(new Arrival(nanos, counted));
  }

  /** Returns the largest number of counted requests in some window beyond what the rule allows. */
  double largestExcess(double rate, long from, long to) {
    double allowed = MAX_EXCESS * rate * WINDOW_SECONDS + SLACK;
    double largest = -allowed;
    for (List<Arrival> atServer : arrivals.values()) {
      long[] counted =
          atServer.stream()
              .filter(arrival -> arrival.counted() && arrival.isBetween(from, to))
              .mapToLong(Arrival::nanos)
              .toArray();
      for (int first = 0; first < counted.length; first++) {
        int last = Arrays.binarySearch(counted, counted[first] + WINDOW_NANOS);
        int count = (last < 0 ? -last - 1 : last) - first;
        largest = Math.max(largest, count - allowed);
      }
    }
    return largest;
  }

  /** Returns the mean rate of requests at servers, in requests a second. */
  double meanRate(Predicate<String> servers, long from, long to) {
    return arrivals.entrySet().stream()
        .filter(entry -> servers.test(entry.getKey()))
        .mapToLong(
            entry -> entry.getValue().stream().filter(each -> each.isBetween(from, to)).count())
        .mapToDouble(count -> count / ((to - from) / 1e9))
        .average()
        .orElse(0);
  }

  /** Returns the servers that got requests in a time. */
  List<String> serversWithArrivals(long from, long to) {
    return arrivals.entrySet().stream()
        .filter(entry -> entry.getValue().stream().anyMatch(each -> each.isBetween(from, to)))
        .map(Map.Entry::getKey)
        .toList();
  }
}
