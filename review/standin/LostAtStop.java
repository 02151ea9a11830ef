import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: after SIGTERM a gateway ends while an answer that the server has given completely is still
 * being written to its client.
 *
 * <p>The client reads at the speed of a link of the grown sites. The answer would be complete
 * seconds before the grace period ends.
 */
final class LostAtStop extends Case {
  private static final int ANSWER_BYTES = 7_000_000;

  /** Speed of a link of 16.8 Mbit/s. */
  private static final int READ_BYTES_PER_SECOND = 2_100_000;

  private static final int RECEIVE_BUFFER_BYTES = 65_536;
  private static final int CLIENTS = 1;
  private static final long DEADLINE_MILLIS = 12_000;

  /** Time from SIGTERM to the first request; the gateway still accepts requests then. */
  private static final long REQUEST_DELAY_MILLIS = 2_200;

  public static void main(String[] arguments) throws IOException {
    run(new LostAtStop(), arguments);
  }

  @Override
  boolean isBroken() throws IOException, InterruptedException {
    store.put(
        "keyed.op",
        "config",
        Config.config(
            1, Config.route("r1", "/report/", "idempotent", "app", DEADLINE_MILLIS), "app"));
    new Server("i-app-1", "app", store, record) {
      @Override
      void run(Http.Message request, Connection connection) throws IOException {
        String attempt = recordRun(request);
        respond(connection, attempt, new byte[ANSWER_BYTES]);
        record.line("server has given the whole answer to %s", attempt);
      }
    };
    Gateway gateway = startGateways(1).get(0);
    Client[] clients = new Client[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      clients[i] = new Client(gateway, record, RECEIVE_BUFFER_BYTES);
    }
    Threads.sleep(500);
    if (trouble) {
      record.line("SIGTERM, grace period of %d s", Gateway.GRACE_SECONDS);
      gateway.signal("TERM");
    }
    Threads.sleep(REQUEST_DELAY_MILLIS);
    AtomicInteger cut = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      Client client = clients[i];
      String attempt = "a" + i;
      Threads.start(
          () -> {
            try {
              if (!readSlowly(client, attempt)) {
                cut.incrementAndGet();
              }
            } finally {
              done.countDown();
            }
          });
    }
    if (trouble) {
      gateway.awaitEnd(Gateway.GRACE_SECONDS * 1_000L);
      record.line("the gateway %s", gateway.isAlive() ? "still runs" : "has ended by itself");
    }
    done.await();
    record.line("%d of %d answers were cut off", cut.get(), CLIENTS);
    return cut.get() > 0;
  }

  /** Reads an answer at the speed of the link; returns whether it was complete. */
  private boolean readSlowly(Client client, String attempt) throws IOException {
    client.send("GET", Config.HOST, "/report/1", attempt, DEADLINE_MILLIS, new byte[0]);
    InputStream in = client.socket().getInputStream();
    Http.Message head = Http.readHead(in);
    if (head == null || head.status() != 200) {
      record.line("%s: %s", attempt, head == null ? "closed" : head.firstLine());
      return false;
    }
    long startNanos = System.nanoTime();
    byte[] buffer = new byte[16_384];
    long received = 0;
    while (received < ANSWER_BYTES) {
      int count;
      try {
        count = in.read(buffer);
      } catch (IOException e) {
        record.line("%s: %s", attempt, e);
        count = -1;
      }
      if (count < 0) {
        break;
      }
      received += count;
      long dueNanos = received * 1_000_000_000L / READ_BYTES_PER_SECOND;
      long leadMillis = (dueNanos - (System.nanoTime() - startNanos)) / 1_000_000;
      if (leadMillis > 0) {
        Threads.sleep(leadMillis);
      }
    }
    record.line(
        "%s: 200, %d of %s bytes, then the connection %s",
        attempt,
        received,
        head.header("content-length"),
        received < ANSWER_BYTES ? "ended" : "was kept");
    return received == ANSWER_BYTES;
  }
}
