package org.pollenrock.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;

/**
 * Metadata of a caller's request that its headers carry.
 *
 * @param id identifier of this attempt of the caller; empty when the caller sent none
 * @param apiKey API key of the caller
 * @param deadlineMillis time for which the caller waits for the response
 * @param prompt description of the prompt; empty for a request that is not for an engine
 * @param tokens tokens of the prompt and the maximum output; empty if the request does not name
 *     them readably
 * @param lastEventNumber number of the last event that the caller has received; empty when it
 *     requests the stream from its start
 * @param resumedId id of the attempt of the caller that brought the first event of the stream that
 *     this request takes up; empty if it begins a stream, or the caller does not tell
 * @param unreadableHeaders names of headers whose values could not be parsed; these headers are
 *     treated as absent
 */
public record CallerRequestMetadata(
    String id,
    Optional<String> apiKey,
    OptionalLong deadlineMillis,
    Optional<Prompt> prompt,
    OptionalLong tokens,
    OptionalLong lastEventNumber,
    Optional<String> resumedId,
    List<String> unreadableHeaders) {
  /** Maximum length of the ids of parts in a log line, in characters. */
  private static final int MAX_LOGGED_IDS_LENGTH = 200;

  /** Creates the metadata with an immutable copy of the header names. */
  public CallerRequestMetadata {
    unreadableHeaders = List.copyOf(unreadableHeaders);
  }

  /** Returns the number of tokens of the prompt that other requests share; 0 without a prompt. */
  int sharedTokens() {
    return prompt.map(Prompt::sharedTokens).orElse(0);
  }

  /** Returns whether the request takes up a stream that has begun before. */
  boolean continuesStream() {
    return resumedId.isPresent() || lastEventNumber.isPresent();
  }

  /**
   * Returns the ids of the shared parts of the prompt for a log line, separated by commas and cut
   * off at a maximum length; empty if the request shares no part.
   */
  Optional<String> sharedPartIds() {
    return prompt
        .map(
            value ->
                value.sharedParts().stream().map(PromptPart::id).collect(Collectors.joining(",")))
        .filter(ids -> !ids.isEmpty())
        .map(ids -> ids.substring(0, Math.min(ids.length(), MAX_LOGGED_IDS_LENGTH)));
  }

  /** Returns the names of the unreadable headers for a log line; empty if there are none. */
  Optional<String> unreadableHeaderNames() {
    return unreadableHeaders.isEmpty()
        ? Optional.empty()
        : Optional.of(String.join(",", unreadableHeaders));
  }
}
