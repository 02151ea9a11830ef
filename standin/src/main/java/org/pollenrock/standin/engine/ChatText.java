package org.pollenrock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** Prompt text of a chat completion, as the stand-in engine reads it. */
public final class ChatText {
  private ChatText() {}

  /**
   * Joins the messages of a request.
   *
   * <p>A last message that is to be continued stays open, so that the next word follows it.
   *
   * @param body the request body
   * @return the prompt text
   */
  public static String of(JsonNode body) {
    StringBuilder text = new StringBuilder();
    JsonNode messages = body.path("messages");
    boolean continued = body.path("continue_final_message").asBoolean(false);
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      text.append(message.path("role").asText()).append('\n');
      text.append(message.path("content").asText());
      if (!continued || i < messages.size() - 1) {
        text.append('\n');
      }
    }
    if (!continued) {
      text.append("assistant\n");
    }
    return text.toString();
  }
}
