package org.pollenrock.ctl;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** The log service of a test: one stream, lost responses, failing reads and truncation. */
final class TestLog extends TestServer {
  private static final String PATH = "/streams/settings/records";

  private final List<byte[]> records = new ArrayList<>();
  private int first;
  private int lostResponses;
  private boolean readsFail;
  private boolean readsFailAfterAppend;

  @Override
  synchronized void handle(HttpExchange exchange) throws IOException {
    if (!exchange.getRequestURI().getPath().equals(PATH)) {
      respond(exchange, 404, "{}");
    } else if (exchange.getRequestMethod().equals("POST")) {
      append(exchange);
    } else {
      read(exchange);
    }
  }

  private void append(HttpExchange exchange) throws IOException {
    records.add(exchange.getRequestBody().readAllBytes());
    readsFail |= readsFailAfterAppend;
    if (lostResponses > 0) {
      lostResponses--;
      exchange.close();
      return;
    }
    respond(exchange, 200, "{\"offset\":%d,\"time_ms\":0}".formatted(records.size() - 1));
  }

  private void read(HttpExchange exchange) throws IOException {
    if (readsFail) {
      respond(exchange, 503, "{}");
      return;
    }
    int from = Integer.parseInt(query(exchange).get("from"));
    int max = Integer.parseInt(query(exchange).get("max"));
    String header = "{\"first\":%d,\"head\":%d,\"head_time_ms\":0".formatted(first, records.size());
    if (from < first) {
      respond(exchange, 410, header + "}");
      return;
    }
    StringBuilder list = new StringBuilder();
    for (int i = from; i < Math.min(records.size(), from + max); i++) {
      list.append(list.isEmpty() ? "" : ",")
          .append("{\"offset\":%d,\"time_ms\":%d,\"data\":\"".formatted(i, 1000 * i))
          .append(Base64.getEncoder().encodeToString(records.get(i)))
          .append("\"}");
    }
    respond(exchange, 200, header + ",\"records\":[" + list + "]}");
  }

  synchronized void loseResponses(int count) {
    lostResponses = count;
  }

  synchronized void failReadsAfterAppend() {
    readsFailAfterAppend = true;
  }

  synchronized void repairReads() {
    readsFail = false;
    readsFailAfterAppend = false;
  }

  synchronized void truncate(int newFirst) {
    first = newFirst;
  }

  synchronized int size() {
    return records.size();
  }
}
