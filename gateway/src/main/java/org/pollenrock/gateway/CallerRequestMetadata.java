package org.pollenrock.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.Prompt;

/**
 * What a caller's request head says beyond plain HTTP.
 *
 * @param id identity of this try of the caller; empty text when it sent none
 * @param apiKey its API key
 * @param deadlineMillis time for which it will wait
 * @param prompt the prompt, for requests to engines
 * @param lastEventNumber number of the last event that it has; empty when it wants the stream whole
 * @param unreadableHeaders names of headers whose values could not be read; they count as absent
 */
public record CallerRequestMetadata(
    String id,
    Optional<String> apiKey,
    OptionalLong deadlineMillis,
    Optional<Prompt> prompt,
    OptionalLong lastEventNumber,
    List<String> unreadableHeaders) {
  /** Copies the names. */
  public CallerRequestMetadata {
    unreadableHeaders = List.copyOf(unreadableHeaders);
  }
}
