package org.pollenrock.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.Prompt;

/**
 * Metadata of a caller's request that its headers carry.
 *
 * @param id identifier of this attempt of the caller; empty when the caller sent none
 * @param apiKey API key of the caller
 * @param deadlineMillis time for which the caller waits for the response
 * @param prompt description of the prompt; empty for a request that is not for an engine
 * @param lastEventNumber number of the last event that the caller has received; empty when it
 *     requests the stream from its start
 * @param unreadableHeaders names of headers whose values could not be parsed; these headers are
 *     treated as absent
 */
public record CallerRequestMetadata(
    String id,
    Optional<String> apiKey,
    OptionalLong deadlineMillis,
    Optional<Prompt> prompt,
    OptionalLong lastEventNumber,
    List<String> unreadableHeaders) {
  /** Creates the metadata with an immutable copy of the header names. */
  public CallerRequestMetadata {
    unreadableHeaders = List.copyOf(unreadableHeaders);
  }
}
