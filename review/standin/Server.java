import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Stand-in of a server: registers in the store and runs requests as a sound server does. */
class Server {
  /** One connection of a caller. */
  static final class Connection {
    final Socket socket;
    final OutputStream out;

    /** Last refusal that a test has sent on the connection and may repeat; null if none. */
    byte[] refusal;

    /** Request that was refused. */
    String refusedAttempt;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }
  }

  /** Interval of the heartbeats, as heartbeat_ms of the settings. */
  static final long HEARTBEAT_MILLIS = 1_200;

  final String id;
  final String service;
  final Record record;
  final Store store;
  final long bornMillis = System.currentTimeMillis();
  private final ServerSocket socket;
  private int sequence;
  private volatile boolean beating = true;
  private volatile long lastBeatMillis;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /** Whether it has crashed; its runs end then. */
  volatile boolean crashed;

  Server(String id, String service, Store store, Record record) throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.record = record;
    this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
    beat();
    Threads.start(
        () -> {
          while (true) {
            long leftMillis = lastBeatMillis + HEARTBEAT_MILLIS - System.currentTimeMillis();
            if (leftMillis > 0) {
              Threads.sleep(leftMillis);
            } else {
              beat();
            }
          }
        });
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Stops the heartbeats. Its entry remains until it is removed. */
  synchronized void stopBeating() {
    beating = false;
  }

  private synchronized void beat() {
    lastBeatMillis = System.currentTimeMillis();
    if (beating) {
      store.put("keyed.servers", id, entry());
    }
  }

  /** Returns a complete entry of this server. */
  private String entry() {
    sequence++;
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d%s}")
        .formatted(service, address(), slots(), sequence, bornMillis, furtherFields());
  }

  /** Returns how many requests it runs at once. */
  int slots() {
    return 6;
  }

  /** Ends at once: resets its connections and sends nothing more to the store. */
  void crash() throws IOException {
    stopBeating();
    crashed = true;
    socket.close();
    for (Socket caller : connections) {
      if (!caller.isClosed()) {
        caller.setSoLinger(true, 0);
        caller.close();
      }
    }
  }

  /** Returns further fields of its entry. */
  String furtherFields() {
    return "";
  }

  private void accept() throws IOException {
    while (true) {
      Socket caller = socket.accept();
      caller.setTcpNoDelay(true);
      connections.add(caller);
      Connection connection = new Connection(caller);
      Threads.start(() -> serve(connection));
    }
  }

  private void serve(Connection connection) throws IOException, InterruptedException {
    try (Socket caller = connection.socket) {
      while (true) {
        Http.Message request = Http.read(caller.getInputStream());
        if (request == null || !request.complete()) {
          return;
        }
        handle(request, connection);
      }
    }
  }

  /** Answers a request; a sound server. */
  void handle(Http.Message request, Connection connection)
      throws IOException, InterruptedException {
    String expected = request.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.out.write(
          Http.message("HTTP/1.1 421 Misdirected", Map.of("Instance-Id", id), new byte[0]));
      return;
    }
    if (request.path().equals("/health")) {
      connection.out.write(
          Http.message("HTTP/1.1 200 OK", Map.of("Instance-Id", id), new byte[0]));
      return;
    }
    run(request, connection);
  }

  /** Runs a request to a good end. */
  void run(Http.Message request, Connection connection) throws IOException, InterruptedException {
    String attempt = recordRun(request);
    Thread.sleep(20);
    respond(connection, attempt, ("ran " + attempt).getBytes(StandardCharsets.UTF_8));
  }

  String recordRun(Http.Message request) {
    String attempt = request.header("Attempt-Id");
    record.line("run by %s of %s: %s", id, service, attempt);
    ran(attempt);
    return attempt;
  }

  /** Called for each run. */
  void ran(String attempt) {}

  void respond(Connection connection, String attempt, byte[] body) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Attempt-Id", attempt);
    headers.put("Response-Stamp", id + "." + attempt);
    headers.put("Server-Load", "1,0,6");
    connection.out.write(Http.message("HTTP/1.1 200 OK", headers, body));
  }

  /** Waits until a supplier returns a value; returns null if it doesn't in time. */
  static <T> T await(Supplier<T> value, long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    T current = value.get();
    while (current == null && System.nanoTime() < until) {
      Threads.sleep(20);
      current = value.get();
    }
    return current;
  }
}
