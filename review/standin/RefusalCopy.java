import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TWICE: a server refuses a request because it is full, and the gateway sends the request to it
 * again on the same connection. The late second copy of the refusal arrives where the answer of the
 * run is due. The gateway takes it as a refusal of the run, and the request runs once more.
 */
final class RefusalCopy extends Case {
  private static final int REQUESTS = 200;
  private static final long DEADLINE_MILLIS = 2_500;

  /** The server refuses one in this many requests and sends this refusal twice. */
  private static final int REFUSED_ONE_IN = 40;

  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  public static void main(String[] arguments) throws IOException {
    run(new RefusalCopy(), arguments);
  }

  /** Server that refuses some requests; while it is faulty, it sends each refusal twice. */
  private final class SheddingServer extends Server {
    private final AtomicInteger received = new AtomicInteger();

    SheddingServer(String id) throws IOException {
      super(id, "app", RefusalCopy.this.store, RefusalCopy.this.record);
    }

    @Override
    void run(Http.Message request, Connection connection)
        throws IOException, InterruptedException {
      if (received.incrementAndGet() % REFUSED_ONE_IN == 0) {
        refuse(request.header("Attempt-Id"), connection);
        return;
      }
      String attempt = recordRun(request);
      if (trouble && connection.refusal != null) {
        record.line("late second copy of the refusal of %s", connection.refusedAttempt);
        connection.out.write(connection.refusal);
        connection.refusal = null;
      }
      Thread.sleep(30);
      respond(connection, attempt, Client.text("ran " + attempt));
    }

    private void refuse(String attempt, Connection connection) throws IOException {
      record.line("refused by %s, which is full: %s", id, attempt);
      connection.refusedAttempt = attempt;
      connection.refusal =
          Http.message(
              "HTTP/1.1 503 Service Unavailable",
              Map.of("Attempt-Id", attempt, "Not-Executed", "1", "Server-Load", "6,0,6"),
              new byte[0]);
      connection.out.write(connection.refusal);
    }

    @Override
    void ran(String attempt) {
      runs.merge(attempt, 1, Integer::sum);
    }
  }

  @Override
  boolean isBroken() throws IOException, InterruptedException {
    store.put(
        "keyed.op",
        "config",
        Config.config(
            1, Config.route("r1", "/post/", "non_idempotent", "app", DEADLINE_MILLIS), "app"));
    new SheddingServer("i-app-1");
    Gateway gateway = startGateways(1).get(0);
    try (Client client = new Client(gateway, record)) {
      for (int i = 0; i < REQUESTS; i++) {
        client.call("POST", Config.HOST, "/post/1", "p" + i, DEADLINE_MILLIS, Client.text("pay"));
      }
    }
    Threads.sleep(500);
    long twice = runs.values().stream().filter(count -> count > 1).count();
    runs.forEach((attempt, count) -> {
      if (count > 1) {
        record.line("%s ran %d times", attempt, count);
      }
    });
    record.line("%d requests sent, %d ran, %d of them twice", REQUESTS, runs.size(), twice);
    return twice > 0;
  }
}
