package org.pollenrock.router.filter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;

/** Reading and changing of completion bodies; fields that the router does not use pass through. */
final class CompletionBody {
  private static final int MAX_DEPTH = 64;
  private static final Set<String> TEXT_FIELDS = Set.of("role", "content");
  private static final ObjectMapper MAPPER = mapper();

  private CompletionBody() {}

  private static ObjectMapper mapper() {
    ObjectMapper mapper = new ObjectMapper();
    mapper
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder()
                .maxNestingDepth(MAX_DEPTH)
                .maxStringLength(Integer.MAX_VALUE)
                .build());
    return mapper;
  }

  /** Reads a body and checks the fields that the router uses. */
  static Result<ParsedCall> parse(boolean chat, byte[] bytes) {
    JsonNode node;
    try {
      node = MAPPER.readTree(bytes);
    } catch (IOException e) {
      return malformed("the body is not valid JSON");
    }
    if (!(node instanceof ObjectNode body)) {
      return malformed("the body is not a JSON object");
    }
    if (!body.path("model").isTextual() || body.path("model").asText().isBlank()) {
      return malformed("'model' must be a text");
    }
    if (chat ? !validMessages(body.path("messages")) : !body.path("prompt").isTextual()) {
      return malformed(
          chat ? "'messages' must be a list of messages with a role" : "'prompt' must be a text");
    }
    JsonNode stream = body.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      return malformed("'stream' must be true or false");
    }
    JsonNode maxTokens = maxTokensNode(body);
    if (!maxTokens.isMissingNode() && !(maxTokens.canConvertToLong() && maxTokens.asLong() > 0)) {
      return malformed("'max_tokens' must be a positive number");
    }
    return Result.success(
        new ParsedCall.Completion(
            chat,
            body,
            body.path("model").asText(),
            stream.asBoolean(false),
            maxTokens.isMissingNode()
                ? OptionalLong.empty()
                : OptionalLong.of(maxTokens.asLong())));
  }

  private static JsonNode maxTokensNode(ObjectNode body) {
    JsonNode node = body.path(maxTokensName(body));
    return node.isNull() ? body.path("") : node;
  }

  private static String maxTokensName(ObjectNode body) {
    return body.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  }

  private static boolean validMessages(JsonNode messages) {
    if (!(messages instanceof ArrayNode list) || list.isEmpty()) {
      return false;
    }
    for (JsonNode message : list) {
      if (!message.isObject() || !message.path("role").isTextual()) {
        return false;
      }
    }
    return true;
  }

  /**
   * The prompt in the form whose bytes are cut into blocks: equal prompts have equal bytes, and a
   * longer conversation begins with the bytes of a shorter one.
   *
   * @param bytes the text in UTF-8
   * @param partEnds offsets at which a message ends, ascending
   */
  record CanonicalPrompt(byte[] bytes, List<Integer> partEnds) {}

  static CanonicalPrompt canonicalPrompt(ParsedCall.Completion call) {
    if (!call.chat()) {
      byte[] bytes = call.body().path("prompt").asText().getBytes(StandardCharsets.UTF_8);
      return new CanonicalPrompt(bytes, List.of(bytes.length));
    }
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    List<Integer> ends = new ArrayList<>();
    for (JsonNode message : call.body().path("messages")) {
      JsonNode content = message.path("content");
      String body = content.isTextual() ? content.asText() : content.toString();
      String part = message.path("role").asText() + '\n' + body + '\n';
      text.writeBytes(part.getBytes(StandardCharsets.UTF_8));
      ends.add(text.size());
    }
    return new CanonicalPrompt(text.toByteArray(), ends);
  }

  /** The body for an engine: the caller's body with the salt of its customer. */
  static byte[] forEngine(ParsedCall.Completion call, String cacheSalt) {
    ObjectNode body = call.body().deepCopy();
    body.put("cache_salt", cacheSalt);
    return write(body);
  }

  /** The body that continues an answer from the text relayed so far. */
  static byte[] continuation(
      ParsedCall.Completion call, String cacheSalt, String text, long relayedTokens) {
    ObjectNode body = call.body().deepCopy();
    body.put("cache_salt", cacheSalt);
    call.maxTokens()
        .ifPresent(most -> body.put(maxTokensName(body), Math.max(1, most - relayedTokens)));
    if (!call.chat()) {
      body.put("prompt", body.path("prompt").asText() + text);
      return write(body);
    }
    ObjectNode partial = body.withArray("messages").addObject();
    partial.put("role", "assistant").put("content", text);
    body.put("continue_final_message", true);
    body.put("add_generation_prompt", false);
    return write(body);
  }

  /** Whether an event of a stream says why the generation ended, so that no token follows it. */
  static boolean endsGeneration(String eventData) {
    try {
      JsonNode choices = MAPPER.readTree(eventData).path("choices");
      return choices.size() == 1 && choices.path(0).path("finish_reason").isTextual();
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  /**
   * The text that an event of a stream adds. Empty when the event holds anything that cannot be
   * continued from text, such as a tool call or a second choice.
   */
  static Optional<String> textOf(String eventData) {
    try {
      JsonNode choices = MAPPER.readTree(eventData).path("choices");
      if (choices.size() > 1 || choices.path(0).path("index").asInt(0) != 0) {
        return Optional.empty();
      }
      JsonNode choice = choices.path(0);
      JsonNode delta = choice.path("delta");
      for (String name : iterable(delta.fieldNames())) {
        if (!TEXT_FIELDS.contains(name) && !delta.path(name).isNull()) {
          return Optional.empty();
        }
      }
      JsonNode text = choice.has("text") ? choice.get("text") : delta.path("content");
      return Optional.of(text.isTextual() ? text.asText() : "");
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static Iterable<String> iterable(Iterator<String> names) {
    return () -> names;
  }

  private static byte[] write(ObjectNode body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree that was read is writable", e);
    }
  }

  private static Result<ParsedCall> malformed(String message) {
    return Result.failure(
        new RequestError.Refusal(
            ErrorCode.MALFORMED_REQUEST, Step.READ, Optional.empty(), message));
  }
}
