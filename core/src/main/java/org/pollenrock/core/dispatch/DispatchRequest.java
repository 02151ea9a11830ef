package org.pollenrock.core.dispatch;

import java.util.Optional;

/**
 * What the choice of a server needs to know of a request.
 *
 * @param id identity of the request, for logs
 * @param service service that serves it
 * @param prompt its prompt; empty for a plain request
 * @param cacheScope customers that share cached parts with this one
 * @param urgency rank from 0, which goes first, to 9
 * @param repeatable whether it may run more than once
 * @param targetLatencyMillis time within which an answer is on time
 * @param arrivalNanos time at which it had been read
 * @param deadlineNanos time after which no answer is of use
 */
public record DispatchRequest(
    String id,
    String service,
    Optional<Prompt> prompt,
    String cacheScope,
    int urgency,
    boolean repeatable,
    long targetLatencyMillis,
    long arrivalNanos,
    long deadlineNanos) {
  /**
   * Tokens of the prompt.
   *
   * @return the number; 0 for a plain request
   */
  public long promptTokens() {
    return prompt.map(Prompt::tokens).orElse(0);
  }
}
