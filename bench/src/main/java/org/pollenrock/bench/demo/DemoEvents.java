package org.pollenrock.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads the events of a streamed completion. */
final class DemoEvents {
  private static final ObjectMapper JSON = new ObjectMapper();

  private DemoEvents() {}

  static String text(String event) throws IOException {
    JsonNode node = JSON.readTree(event);
    if (node.has("error")) {
      throw new IOException("the stream ended with " + node);
    }
    return node.path("choices").path(0).path("text").asText();
  }
}
