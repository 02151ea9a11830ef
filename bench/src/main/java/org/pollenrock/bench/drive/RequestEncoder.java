package org.pollenrock.bench.drive;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.bench.workload.Prompt;
import org.pollenrock.bench.workload.TimedRequest;
import org.pollenrock.bench.workload.TrafficKind;

/** Writes a request of a trace as HTTP. */
final class RequestEncoder {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String plainService;
  private final Duration timeout;

  RequestEncoder(String plainService, Duration timeout) {
    this.plainService = plainService;
    this.timeout = timeout;
  }

  HttpRequest encode(TimedRequest request, String address) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + address + path(request)))
            .timeout(timeout)
            .header("Authorization", "Bearer " + apiKey(request.customer()))
            .header("X-Request-Kind", request.kind().settingsName())
            .header("Content-Type", "application/json");
    if (!request.key().isEmpty()) {
      builder.header("Idempotency-Key", request.key());
    }
    if (request.kind().shape() == TrafficKind.Shape.IDEMPOTENT_CALL) {
      return builder.GET().build();
    }
    return builder.POST(HttpRequest.BodyPublishers.ofString(body(request))).build();
  }

  /** API key of a customer; the settings hold its hash. */
  static String apiKey(int customer) {
    return "bench-key-" + customer;
  }

  private String path(TimedRequest request) {
    return switch (request.kind().shape()) {
      case LONG_MODEL -> "/v1/chat/completions";
      case SHORT_MODEL -> "/v1/completions";
      case IDEMPOTENT_CALL -> "/" + plainService + "/accounts/" + request.number();
      case NON_IDEMPOTENT_CALL -> "/" + plainService + "/postings";
    };
  }

  private static String body(TimedRequest request) {
    Prompt prompt = request.prompt();
    return switch (request.kind().shape()) {
      case LONG_MODEL -> chat(request, prompt).toString();
      case SHORT_MODEL -> completion(request).put("prompt", prompt.user()).toString();
      case IDEMPOTENT_CALL, NON_IDEMPOTENT_CALL -> prompt.user();
    };
  }

  private static ObjectNode chat(TimedRequest request, Prompt prompt) {
    ObjectNode body = completion(request);
    ArrayNode messages = body.putArray("messages");
    messages.addObject().put("role", "system").put("content", prompt.system());
    messages.addObject().put("role", "user").put("content", prompt.user());
    return body;
  }

  private static ObjectNode completion(TimedRequest request) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", Deployment.MODEL);
    body.put("stream", true);
    body.put("max_tokens", request.kind().maxTokens());
    return body;
  }
}
