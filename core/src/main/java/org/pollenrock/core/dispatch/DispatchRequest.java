package org.pollenrock.core.dispatch;

import java.util.Optional;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.origin.StreamOrigin;
import org.pollenrock.core.quarantine.CrashSuspects;
import org.pollenrock.core.quarantine.RequestFingerprint;

/**
 * The properties of a request that server selection depends on.
 *
 * @param id identity of the request, for logs
 * @param service name of the service that serves the request
 * @param softwareVersion version of the software of the servers that may take the request; empty if
 *     any may
 * @param prompt prompt of the request; empty for a plain request
 * @param fingerprint what identifies the request among repetitions by callers; empty if its
 *     repetitions need not be recognized
 * @param customer name of the customer; empty if the request has none
 * @param urgency urgency from 0, which is dispatched first, to 9
 * @param repeatable whether the request may run more than once
 * @param targetLatencyMillis time within which a response counts as on time
 * @param arrivalNanos time at which the request had been read
 * @param deadlineNanos time after which a response is useless to the caller
 */
public record DispatchRequest(
    String id,
    String service,
    Optional<String> softwareVersion,
    Optional<Prompt> prompt,
    Optional<RequestFingerprint> fingerprint,
    Optional<String> customer,
    int urgency,
    boolean repeatable,
    long targetLatencyMillis,
    long arrivalNanos,
    long deadlineNanos) {
  /**
   * Returns the number of tokens of the prompt.
   *
   * @return the number of tokens; 0 for a plain request
   */
  public long promptTokens() {
    return prompt.map(Prompt::tokens).orElse(0);
  }

  /**
   * Returns this request, to be taken only by servers at which its stream can go on.
   *
   * @param origin origin of the stream
   * @return the request for the service and software version of the origin
   */
  public DispatchRequest continuing(StreamOrigin origin) {
    return new DispatchRequest(
        id,
        origin.service(),
        Optional.of(origin.softwareVersion()),
        prompt,
        fingerprint,
        customer,
        urgency,
        repeatable,
        targetLatencyMillis,
        arrivalNanos,
        deadlineNanos);
  }

  /**
   * Returns whether the software of a server may take the request.
   *
   * @param server the server
   * @return false if the request continues a stream of another version
   */
  public boolean accepts(Backend server) {
    return softwareVersion
        .filter(version -> !version.equals(server.entry().softwareVersion()))
        .isEmpty();
  }

  /**
   * Returns what of the request may crash the server that runs it.
   *
   * @return the request and its prompt
   */
  public CrashSuspects crashSuspects() {
    return new CrashSuspects(prompt, fingerprint);
  }

  /**
   * Returns the work that the request is for the servers of its service, in relation to other
   * requests for the same service.
   *
   * @return tokens of the prompt and of the longest output; 1 for a plain request
   */
  public long work() {
    return prompt.map(each -> (long) each.tokens() + each.maxOutputTokens()).orElse(1L);
  }
}
