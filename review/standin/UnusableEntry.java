import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: a server has left the list, and another writer then writes an entry under its id that
 * lacks fields and has one of another type. Such an entry names no server to use, but the gateways
 * send requests to the server that has left.
 */
final class UnusableEntry extends Case {
  private static final long DRAIN_MILLIS = 2_000;
  private static final long DEADLINE_MILLIS = 1_000;

  private static final int CLIENTS = 8;

  private volatile boolean stopped;
  private final AtomicInteger lateRequests = new AtomicInteger();
  private volatile long leftNanos;

  public static void main(String[] arguments) throws IOException {
    run(new UnusableEntry(), arguments);
  }

  @Override
  boolean isBroken() throws IOException, InterruptedException {
    store.put(
        "keyed.op",
        "config",
        Config.config(1, Config.route("r1", "/read/", "idempotent", "app", DEADLINE_MILLIS), "app"));
    Server leaving =
        new Server("i-app-1", "app", store, record) {
          @Override
          void ran(String attempt) {
            long leftMillis = leftNanos == 0 ? -1 : (System.nanoTime() - leftNanos) / 1_000_000;
            if (leftMillis > DRAIN_MILLIS) {
              lateRequests.incrementAndGet();
              record.line("%s reached i-app-1 %d ms after it had left", attempt, leftMillis);
            }
          }
        };
    new Server("i-app-2", "app", store, record);
    List<Gateway> gateways = startGateways(2);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Threads.start(() -> sendRequests(gateways.get(number % 2), number));
    }
    Threads.sleep(2_000);
    // It goes on to serve for many seconds, without entry and heartbeats.
    leaving.stopBeating();
    store.put("keyed.servers", "i-app-1", "");
    leftNanos = System.nanoTime();
    record.line("the entry of i-app-1 is removed");
    Threads.sleep(2 * DRAIN_MILLIS);
    if (trouble) {
      String entry =
          "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z1\",\"slots\":\"six\",\"state\":\"ready\"}"
              .formatted(leaving.address());
      record.line("another writer writes servers/i-app-1: %s", entry);
      store.put("keyed.servers", "i-app-1", entry);
    }
    Threads.sleep(4_000);
    stopped = true;
    record.line("%d requests reached i-app-1 too late", lateRequests.get());
    return lateRequests.get() > 0;
  }

  private void sendRequests(Gateway gateway, int number) throws IOException {
    try (Client client = new Client(gateway, record)) {
      for (int i = 0; !stopped; i++) {
        String attempt = "q" + number + "-" + i;
        client.call("GET", Config.HOST, "/read/1", attempt, DEADLINE_MILLIS, new byte[0]);
      }
    }
  }
}
