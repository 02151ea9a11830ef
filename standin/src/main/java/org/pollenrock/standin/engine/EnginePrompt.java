package org.pollenrock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.pollenrock.standin.http.StandinRequest;

/**
 * A parsed completion request.
 *
 * @param chat whether it came as a chat completion
 * @param model requested model
 * @param text canonical prompt text
 * @param stream whether the answer is streamed
 * @param maxTokens tokens to generate
 * @param cacheSalt isolation value of the prefix cache
 * @param blockKeys keys of the prompt's whole blocks, as hex text
 */
record EnginePrompt(
    boolean chat,
    String model,
    String text,
    boolean stream,
    int maxTokens,
    String cacheSalt,
    List<String> blockKeys) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DEFAULT_TOKENS = 16;
  private static final int KEY_BYTES = 16;

  static Optional<EnginePrompt> parse(StandinRequest request) {
    JsonNode body;
    try {
      body = JSON.readTree(request.body());
    } catch (IOException e) {
      return Optional.empty();
    }
    if (body == null || !body.isObject()) {
      return Optional.empty();
    }
    boolean chat = request.path().endsWith("/chat/completions");
    String text = chat ? ChatText.of(body) : body.path("prompt").asText();
    return Optional.of(
        new EnginePrompt(
            chat,
            body.path("model").asText(),
            text,
            body.path("stream").asBoolean(false),
            body.path("max_tokens").asInt(DEFAULT_TOKENS),
            body.path("cache_salt").asText(),
            keys(request.header("X-Block-Keys"))));
  }

  private static List<String> keys(String header) {
    if (header.isEmpty()) {
      return List.of();
    }
    byte[] bytes = Base64.getDecoder().decode(header);
    List<String> keys = new ArrayList<>(bytes.length / KEY_BYTES);
    for (int at = 0; at + KEY_BYTES <= bytes.length; at += KEY_BYTES) {
      keys.add(HexFormat.of().formatHex(bytes, at, at + KEY_BYTES));
    }
    return keys;
  }
}
