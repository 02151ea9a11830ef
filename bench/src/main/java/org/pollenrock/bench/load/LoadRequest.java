package org.pollenrock.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.standin.engine.GeneratedText;

/** A request whose one right answer is known. */
public sealed interface LoadRequest {
  /**
   * HTTP method.
   *
   * @return the method
   */
  String method();

  /**
   * Path of the request.
   *
   * @return an absolute path
   */
  String path();

  /**
   * Body to send.
   *
   * @return the body, or empty
   */
  String body();

  /**
   * Whether an answer is whole and the answer to this request.
   *
   * @param answer what arrived
   * @return false when anything is missing or different
   */
  boolean matches(LoadAnswer answer);

  /**
   * Idempotent GET of a plain service that answers with the path it was asked for.
   *
   * @param prefix path prefix of the service
   * @param number what to ask for
   */
  record PlainGet(String prefix, long number) implements LoadRequest {
    @Override
    public String method() {
      return "GET";
    }

    @Override
    public String path() {
      return prefix + "/accounts/" + number;
    }

    @Override
    public String body() {
      return "";
    }

    @Override
    public boolean matches(LoadAnswer answer) {
      return answer.status() == 200 && answer.body().endsWith("/accounts/" + number);
    }
  }

  /**
   * Completion of a short prompt.
   *
   * @param prompt the prompt; must need no escape in JSON
   * @param tokens tokens to generate
   * @param streamed whether the tokens come as server-sent events
   */
  record Completion(String prompt, int tokens, boolean streamed) implements LoadRequest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DONE = DATA + "[DONE]";

    @Override
    public String method() {
      return "POST";
    }

    @Override
    public String path() {
      return "/v1/completions";
    }

    @Override
    public String body() {
      return "{\"model\":\"%s\",\"stream\":%b,\"max_tokens\":%d,\"prompt\":\"%s\"}"
          .formatted(Deployment.MODEL, streamed, tokens, prompt);
    }

    @Override
    public boolean matches(LoadAnswer answer) {
      if (answer.status() != 200) {
        return false;
      }
      try {
        String text = streamed ? streamText(answer.body()) : text(answer.body());
        return text.equals(GeneratedText.whole(prompt, Deployment.VERSION, tokens));
      } catch (IOException e) {
        return false;
      }
    }

    private static String streamText(String body) throws IOException {
      List<String> events = body.lines().filter(line -> line.startsWith(DATA)).toList();
      if (events.isEmpty() || !events.getLast().equals(DONE)) {
        return "";
      }
      StringBuilder text = new StringBuilder();
      for (String event : events.subList(0, events.size() - 1)) {
        text.append(text(event.substring(DATA.length())));
      }
      return text.toString();
    }

    private static String text(String json) throws IOException {
      JsonNode choice = JSON.readTree(json).path("choices").path(0);
      return choice.path("text").asText();
    }
  }
}
