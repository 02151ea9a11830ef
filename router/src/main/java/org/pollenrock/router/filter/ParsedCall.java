package org.pollenrock.router.filter;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;

/** What a caller asks for, as read from method, path and body. */
public sealed interface ParsedCall {
  /** The list of models. */
  record ListModels() implements ParsedCall {}

  /**
   * A completion.
   *
   * @param chat whether the prompt is a list of messages
   * @param body the JSON body
   * @param model model name
   * @param streamed whether the caller wants an event stream
   * @param maxTokens bound on generated tokens, when the caller set one
   */
  record Completion(
      boolean chat, ObjectNode body, String model, boolean streamed, OptionalLong maxTokens)
      implements ParsedCall {}

  /** Any other call; the settings tell whether a plain service takes it. */
  record Other() implements ParsedCall {}
}
