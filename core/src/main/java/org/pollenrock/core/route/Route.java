package org.pollenrock.core.route;

import java.util.List;
import java.util.OptionalInt;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Rule for the requests of one host whose paths begin with one prefix.
 *
 * @param name name of the route
 * @param host host that callers name, in lower case and without a port
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param services services that share the requests; not empty
 * @param timeoutMillis longest time for which a caller waits
 * @param targetLatencyMillis time within which an answer, or its first event, is on time
 * @param priority rank of the requests; 0 goes first
 * @param maxAttempts most servers on which one request may run
 * @param anonymous whether requests need no API key
 * @param prefixAffinity whether requests name their prompt, so that cached parts matter
 * @param resumable whether a stream may go on at another server
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<WeightedService> services,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int maxAttempts,
    boolean anonymous,
    boolean prefixAffinity,
    boolean resumable) {
  /** Urgency of requests that go last. */
  public static final int LEAST_URGENT = 9;

  /** Prompts up to this length are read in some tens of milliseconds. */
  private static final int SHORT_PROMPT_MAX_TOKENS = 4_000;

  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route without a service: " + name);
    }
  }

  /**
   * Tells whether a request may run more than once.
   *
   * @return whether a second run does no harm
   */
  public boolean isRepeatable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /**
   * Picks the service of a request; one request gets the same service in every process.
   *
   * @param requestId identity of the request
   * @return name of the service
   */
  public String serviceFor(String requestId) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    int total = 0;
    for (WeightedService share : services) {
      total += share.weight();
    }
    long point = Long.remainderUnsigned(RendezvousHash.hash(requestId), Math.max(1, total));
    for (WeightedService share : services) {
      point -= share.weight();
      if (point < 0) {
        return share.service();
      }
    }
    return services.get(0).service();
  }

  /**
   * Urgency of a request.
   *
   * <p>Among requests of one rank those with short prompts go first: they hold the others up for a
   * moment only, while a long one would hold up many.
   *
   * @param customerPriority rank of the customer, which goes before the rank of the route
   * @param promptTokens tokens of its prompt; 0 for a plain request
   * @return urgency from 0, which goes first, to 9
   */
  public int urgency(OptionalInt customerPriority, long promptTokens) {
    int rank = customerPriority.orElse(priority);
    int size = promptTokens > SHORT_PROMPT_MAX_TOKENS ? 1 : 0;
    return Math.clamp(2L * rank + size, 0, LEAST_URGENT);
  }
}
