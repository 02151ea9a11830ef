import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stand-in for a model server. It keeps the parts of prompts that it has read under the salt of the
 * request, remembers which request made each, and answers with a short stream.
 */
final class Engine {
  /**
   * Request that the server has begun to run.
   *
   * @param tenant tenant that the request names
   * @param salt salt under which its parts are kept
   * @param used parts that it found kept, with the requests that made them
   */
  record Run(String attempt, String tenant, String salt, Map<String, String> used) {}

  static final String MODEL = "daka510000";

  private static final int EVENTS = 3;
  private static final long BEAT_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final String zone;
  private final long bornMillis = System.currentTimeMillis();
  private final Store store;
  private final Consumer<Run> runs;
  private final Listener listener;
  private final Map<String, Map<String, String>> makersBySalt = new HashMap<>();
  private long beats;

  Engine(String id, String service, String zone, Store store, Consumer<Run> runs)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.runs = runs;
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

  private void register() {
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":32,"
                .formatted(service, listener.address(), zone)
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\",\"models\":[{\"name\":"
            + "\"%s\",\"version\":1,\"adapters\":[]}],\"seq\":%d,\"born\":%d}"
                .formatted(MODEL, ++beats, bornMillis));
  }

  private boolean handle(Http.Request request, Socket socket, OutputStream out) throws Exception {
    Map<String, String> json = Map.of("Content-Type", "application/json", "Instance-Id", id);
    String expected = request.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.respond(out, 421, Map.of("Instance-Id", id, "Not-Executed", "1"), new byte[0]);
      return true;
    }
    switch (request.path()) {
      case "/health" -> Http.respond(out, 200, Map.of("Instance-Id", id), new byte[0]);
      case "/-/report" ->
          Http.respond(
              out,
              200,
              json,
              bytes(
                  "{\"stage\":\"colocated\",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,"
                      + "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,"
                      + "\"kv_used\":0,\"kv_total\":228641,\"handles\":0}"));
      case "/-/kv-events" -> {
        Thread.sleep(Long.parseLong("0" + request.header("Wait-Ms")));
        String next = request.parameter("since", "0");
        Http.respond(
            out,
            200,
            json,
            bytes("{\"boot_epoch\":1,\"next\":" + next + ",\"lost\":false,\"events\":[]}"));
      }
      default -> run(request, out);
    }
    return true;
  }

  private void run(Http.Request request, OutputStream out) throws Exception {
    String attempt = request.header("Attempt-Id");
    String version = request.header("Expect-Version");
    if (!version.isEmpty() && !version.equals("1")) {
      Http.respond(
          out,
          421,
          Map.of(
              "Attempt-Id", attempt, "Instance-Id", id, "Weight-Versions", "1", "Not-Executed", "1"),
          new byte[0]);
      return;
    }
    runs.accept(read(request, attempt));
    StringBuilder events = new StringBuilder();
    List<String> chunks = new ArrayList<>();
    for (int event = 1; event <= EVENTS; event++) {
      chunks.add("id: " + event + "\ndata: piece " + event + " of " + attempt + "\n\n");
    }
    events.append("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: " + id);
    events.append("\r\nWeight-Versions: 1\r\nServer-Load: 1,0,32\r\n");
    events.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (String chunk : chunks) {
      events.append(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
    }
    events.append("0\r\n\r\n");
    out.write(bytes(events.toString()));
    out.flush();
  }

  /** Reads the prompt: a part is found kept if all parts before it are kept too. */
  private synchronized Run read(Http.Request request, String attempt) {
    String salt = request.header("Cache-Salt");
    String tenant = request.header("Tenant");
    Map<String, String> makers = makersBySalt.computeIfAbsent(salt, added -> new HashMap<>());
    Map<String, String> used = new HashMap<>();
    boolean found = true;
    for (String entry : request.header("Prompt-Prefix").split(",")) {
      String part = entry.split(":")[0];
      found = found && makers.containsKey(part);
      if (found) {
        used.put(part, makers.get(part));
      } else {
        makers.put(part, attempt);
      }
    }
    return new Run(attempt, tenant, salt, used);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
