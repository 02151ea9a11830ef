package org.pollenrock.standin.store;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.LinkedHashMap;
import java.util.Map;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/** KV cache store: keeps the most recently used values up to a count. */
public final class KvStoreStandin {
  private static final String PREFIX = "/kv/";

  private final EventLoop loop;
  private final int capacity;
  private final StandinHttpServer server;
  private final Map<String, byte[]> values = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Makes an empty store; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param capacity most values kept
   */
  public KvStoreStandin(EventLoopGroup group, int capacity) {
    this.loop = group.next();
    this.capacity = capacity;
    this.server =
        new StandinHttpServer(
            group, (request, exchange) -> loop.execute(() -> handle(request, exchange)));
  }

  /** Begins to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  /**
   * Address of the store.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    if (!request.path().startsWith(PREFIX)) {
      exchange.respondJson(404, "{}");
      return;
    }
    String key = request.path().substring(PREFIX.length());
    if (request.method().equals("PUT")) {
      put(key, request.body());
      exchange.respondJson(200, "{}");
      return;
    }
    byte[] value = values.get(key);
    if (value == null) {
      exchange.respondJson(404, "{}");
      return;
    }
    exchange.respond(200, Map.of(), "application/octet-stream", value);
  }

  private void put(String key, byte[] value) {
    values.put(key, value);
    if (values.size() > capacity) {
      values.remove(values.keySet().iterator().next());
    }
  }
}
