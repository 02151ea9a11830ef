package org.pollenrock.standin.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.pollenrock.standin.http.StandinExchange;

/** Writes the tokens of one request as server-sent events or as one JSON body. */
final class EngineAnswer {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final EnginePrompt prompt;
  private final String attempt;
  private final StandinExchange exchange;
  private final StringBuilder collected = new StringBuilder();
  private Map<String, String> headers = Map.of();
  private int tokens;

  EngineAnswer(EnginePrompt prompt, String attempt, StandinExchange exchange) {
    this.prompt = prompt;
    this.attempt = attempt;
    this.exchange = exchange;
  }

  void begin(Map<String, String> answerHeaders) {
    headers = answerHeaders;
    if (!prompt.stream()) {
      return;
    }
    Map<String, String> streamHeaders = new HashMap<>(answerHeaders);
    streamHeaders.put("Content-Type", "text/event-stream");
    streamHeaders.put("Cache-Control", "no-cache");
    exchange.beginStream(200, streamHeaders);
  }

  void token(int index, String word, boolean last) {
    tokens++;
    if (!prompt.stream()) {
      collected.append(word);
      return;
    }
    exchange.chunk("id: " + index + "\ndata: " + event(word, last) + "\n\n");
  }

  void end() {
    if (prompt.stream()) {
      exchange.chunk("data: [DONE]\n\n");
      exchange.endStream();
      return;
    }
    byte[] body = wholeBody().getBytes(StandardCharsets.UTF_8);
    exchange.respond(200, headers, "application/json", body);
  }

  private String event(String word, boolean last) {
    ObjectNode event = envelope(prompt.chat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = event.putArray("choices").addObject();
    choice.put("index", 0);
    if (prompt.chat()) {
      choice.putObject("delta").put("content", word);
    } else {
      choice.put("text", word);
    }
    choice.put("finish_reason", last ? "length" : null);
    return event.toString();
  }

  private String wholeBody() {
    ObjectNode body = envelope(prompt.chat() ? "chat.completion" : "text_completion");
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    if (prompt.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", collected.toString());
    } else {
      choice.put("text", collected.toString());
    }
    choice.put("finish_reason", "length");
    body.putObject("usage").put("completion_tokens", tokens);
    return body.toString();
  }

  private ObjectNode envelope(String object) {
    ObjectNode node = JSON.createObjectNode();
    node.put("id", "cmpl-" + attempt);
    node.put("object", object);
    node.put("model", prompt.model());
    return node;
  }
}
