package org.pollenrock.ctl;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server on a free loopback port whose answers a test defines. */
abstract class TestServer implements AutoCloseable {
  private final HttpServer server;
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  TestServer() {
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  abstract void handle(HttpExchange exchange) throws IOException;

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String text = exchange.getRequestURI().getQuery();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      query.put(pair.split("=")[0], pair.split("=")[1]);
    }
    return query;
  }

  static void respond(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
