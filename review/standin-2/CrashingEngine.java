import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Stand-in for a model server that can crash. It answers each request with a stream, whose number of
 * events the request's Token-Count names.
 */
final class CrashingEngine {
  static final String MODEL = "daka510000";

  /** Time between two events of a stream. */
  static final long EVENT_MILLIS = 100;

  private static final long BEAT_MILLIS = 1_200;

  /** Beats without which the store removes the entry of a server. */
  private static final int MISSED_BEATS = 3;

  private final String id;
  private final String service;
  private final Store store;
  private final Record record;
  private final long bornMillis = System.currentTimeMillis();
  private final Listener listener;
  private volatile boolean crashed;
  private long beats;

  CrashingEngine(String id, String service, Store store, Record record) throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.record = record;
    listener = new Listener(this::handle);
    record.line(id + " starts");
    register();
    Thread.ofVirtual().start(this::beat);
  }

  /** Ends at once, without a word. */
  void crash() throws IOException {
    crashed = true;
    listener.close();
    record.line(id + " crashes");
  }

  private void beat() {
    int missed = 0;
    while (missed < MISSED_BEATS) {
      try {
        Thread.sleep(BEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      if (crashed) {
        missed++;
      } else {
        register();
      }
    }
    store.put("keyed.servers", id, "");
  }

  private void register() {
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"kurasini\",\"version\":\"v1\","
                .formatted(service, listener.address())
            + "\"slots\":32,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\","
            + "\"models\":[{\"name\":\"%s\",\"version\":1,\"adapters\":[]}],\"seq\":%d,\"born\":%d}"
                .formatted(MODEL, ++beats, bornMillis));
  }

  private boolean handle(Http.Request request, Socket socket, OutputStream out) throws Exception {
    String expected = request.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.respond(out, 421, Map.of("Instance-Id", id), new byte[0]);
      return true;
    }
    switch (request.path()) {
      case "/health" -> Http.respond(out, 200, Map.of("Instance-Id", id), new byte[0]);
      case "/-/report" ->
          Http.respond(
              out,
              200,
              Map.of(),
              bytes(
                  "{\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}],"
                      + "\"busy\":false,\"seq\":0}"));
      case "/-/kv-events" -> {
        Thread.sleep(Long.parseLong("0" + request.header("Wait-Ms")));
        Http.respond(
            out,
            200,
            Map.of(),
            bytes(
                "{\"boot_epoch\":" + bornMillis + ",\"next\":0,\"lost\":false,\"events\":[]}"));
      }
      default -> run(request, out);
    }
    return true;
  }

  private void run(Http.Request request, OutputStream out) throws Exception {
    String attempt = request.header("Attempt-Id");
    record.line(id + " runs " + attempt);
    int events = Integer.parseInt(request.header("Token-Count").split(",")[1]);
    int last = Integer.parseInt("0" + request.header("Last-Event-Id"));
    out.write(
        bytes(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: " + id + "."
                + attempt + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"));
    for (int event = last + 1; event <= events; event++) {
      Thread.sleep(EVENT_MILLIS);
      String text = "id: " + event + "\ndata: token " + event + "\n\n";
      out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      out.flush();
    }
    out.write(bytes("0\r\n\r\n"));
    out.flush();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
