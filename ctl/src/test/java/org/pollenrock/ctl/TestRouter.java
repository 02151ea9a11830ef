package org.pollenrock.ctl;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/** A router of a test: streams of five tokens, plain answers, state and explanations. */
final class TestRouter extends TestServer {
  private final String streamEnd;
  private final Set<String> postingKeys = new HashSet<>();
  private int postings;

  /**
   * Creates a router.
   *
   * @param streamEnd what each stream ends with
   */
  TestRouter(String streamEnd) {
    this.streamEnd = streamEnd;
  }

  @Override
  void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    switch (path) {
      case "/state" -> respond(exchange, 200, "{\"revision\":7,\"servers\":[{\"id\":\"e1\"}]}");
      case "/explain" ->
          respond(exchange, 200, "{\"request\":\"%s\"}".formatted(query(exchange).get("request")));
      case "/v1/chat/completions" -> stream(exchange);
      case "/ledger/refunds" -> post(exchange);
      default -> respond(exchange, 200, "{\"balance\":1}");
    }
  }

  private void stream(HttpExchange exchange) throws IOException {
    StringBuilder events = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      events.append("id: %d\ndata: {}\n\n".formatted(i));
    }
    respond(exchange, 200, events + streamEnd);
  }

  private synchronized void post(HttpExchange exchange) throws IOException {
    postings++;
    postingKeys.add(exchange.getRequestHeaders().getFirst("Idempotency-Key"));
    respond(exchange, 503, "{\"error\":{\"run\":\"not_run\"}}");
  }

  synchronized boolean everyPostingHasItsOwnKey() {
    return postings > 0 && postingKeys.size() == postings && !postingKeys.contains(null);
  }
}
