package org.pollenrock.core.route;

import java.util.List;
import java.util.OptionalInt;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Rule for the requests to one host whose paths start with a given prefix.
 *
 * @param name name of the route
 * @param host host name without a port, as it is read from a header; ASCII letters are compared
 *     without regard to case
 * @param pathPrefix prefix of the path, as it is read from a request; starts and ends with a slash
 * @param kind whether requests may be repeated, and the form of the responses
 * @param services services that share the requests; not empty
 * @param timeoutMillis maximum time for which a caller waits for a response
 * @param targetLatencyMillis time within which a response, or its first event, counts as on time
 * @param priority priority of the requests; 0 is dispatched first
 * @param maxAttempts maximum number of servers on which one request may run
 * @param anonymous whether requests need no API key
 * @param prefixAffinity whether requests describe their prompt, so that servers are selected by
 *     cached prefixes
 * @param resumable whether another server may continue a stream
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
  /** Urgency of the requests that are dispatched last. */
  public static final int LEAST_URGENT = 9;

  /** Maximum length of a short prompt, which is read within some tens of milliseconds. */
  public static final int SHORT_PROMPT_MAX_TOKENS = 4_000;

  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route has no service: " + name);
    }
  }

  /**
   * Returns whether a request may run more than once.
   *
   * @return whether a second run does no harm
   */
  public boolean isRepeatable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /**
   * Returns the maximum time for which a caller waits for a response.
   *
   * @return the time in nanoseconds
   */
  public long timeoutNanos() {
    return timeoutMillis * 1_000_000;
  }

  /**
   * Returns the service of a request. A request gets the same service in every process.
   *
   * @param requestId identity of the request
   * @return name of the service
   */
  public String serviceFor(String requestId) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    long total = 0;
    for (WeightedService weighted : services) {
      total += weighted.weight();
    }
    long point = Long.remainderUnsigned(RendezvousHash.hash(requestId), Math.max(1, total));
    for (WeightedService weighted : services) {
      point -= weighted.weight();
      if (point < 0) {
        return weighted.service();
      }
    }
    return services.get(0).service();
  }

  /**
   * Returns whether requests of the route may go to a service.
   *
   * @param service name of the service
   * @return whether it gets a share of the requests
   */
  public boolean sendsTo(String service) {
    return services.stream()
        .anyMatch(weighted -> weighted.weight() > 0 && weighted.service().equals(service));
  }

  /**
   * Returns the urgency of a request.
   *
   * <p>Among requests of the same priority, those with short prompts are dispatched first: they
   * delay other requests only for a moment, while one long prompt would delay many short ones.
   *
   * @param customerPriority priority of the customer, which overrides the priority of the route
   * @param promptTokens number of tokens of the prompt; 0 for a plain request
   * @return urgency from 0, which is dispatched first, to 9
   */
  public int urgency(OptionalInt customerPriority, long promptTokens) {
    int effectivePriority = customerPriority.orElse(priority);
    int promptClass = promptTokens > SHORT_PROMPT_MAX_TOKENS ? 1 : 0;
    return Math.clamp(2L * effectivePriority + promptClass, 0, LEAST_URGENT);
  }

  /**
   * Returns the urgency that a request would have with a short prompt.
   *
   * @param urgency urgency of the request, as {@link #urgency} returns it
   * @param promptTokens number of tokens of its prompt; 0 for a plain request
   * @return urgency from 0 to 9; that of the request if it can't be told from the priorities below
   */
  public static int shortPromptUrgency(int urgency, long promptTokens) {
    boolean isLong = promptTokens > SHORT_PROMPT_MAX_TOKENS;
    return isLong && urgency % 2 == 1 && urgency < LEAST_URGENT ? urgency - 1 : urgency;
  }
}
