import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a server of plain calls, which runs each request at once and answers it. */
final class PlainServer {
  private static final long BEAT_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final String zone;
  private final long bornMillis = System.currentTimeMillis();
  private final Store store;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Listener listener;
  private long beats;

  PlainServer(String id, String service, String zone, Store store) throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    listener = new Listener(this::handle);
  }

  /** Registers the server in the store, and again in each interval of its beats. */
  void start() {
    register();
    Thread.ofVirtual()
        .start(
            () -> {
              while (true) {
                try {
                  Thread.sleep(BEAT_MILLIS);
                } catch (InterruptedException e) {
                  return;
                }
                register();
              }
            });
  }

  /** Whether the server has run a request. */
  boolean hasRun(String attempt) {
    return ran.contains(attempt);
  }

  private void register() {
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":6,"
                .formatted(service, listener.address(), zone)
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}"
                .formatted(++beats, bornMillis));
  }

  private boolean handle(Http.Request request, Socket socket, OutputStream out) throws Exception {
    String attempt = request.header("Attempt-Id");
    String expected = request.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.respond(out, 421, Map.of("Instance-Id", id), new byte[0]);
    } else if (request.path().equals("/health")) {
      Http.respond(out, 200, Map.of("Instance-Id", id, "Server-Load", "0,0,6"), new byte[0]);
    } else {
      ran.add(attempt);
      Http.respond(
          out,
          200,
          Map.of("Attempt-Id", attempt, "Response-Stamp", id, "Server-Load", "1,0,6"),
          ("ran " + attempt).getBytes(StandardCharsets.UTF_8));
    }
    return true;
  }
}
