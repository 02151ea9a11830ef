import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: the store gives one of three machines no response for some seconds, and a server leaves
 * meanwhile. The machine still sends requests to that server when it has had its path to the store
 * for longer than contact_ms again.
 */
final class LeftDuringSilence extends Case {
  private static final long DRAIN_MILLIS = 2_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long DEADLINE_MILLIS = 1_000;
  private static final int CLIENTS = 9;

  private final AtomicInteger lateRequests = new AtomicInteger();
  private volatile boolean stopped;
  private volatile long leftNanos;

  /** Time from which the machine is in touch again; 0 while it isn't known. */
  private volatile long inTouchNanos;

  public static void main(String[] arguments) throws IOException {
    run(new LeftDuringSilence(), arguments);
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
            checkRun(attempt);
          }
        };
    new Server("i-app-2", "app", store, record);
    new Server("i-app-3", "app", store, record);
    List<Gateway> gateways = new ArrayList<>();
    List<Link> links = new ArrayList<>();
    for (int number = 1; number <= 3; number++) {
      Link link = new Link(store);
      Gateway gateway = new Gateway(number, directory, link.address());
      gateway.start();
      links.add(link);
      gateways.add(gateway);
    }
    awaitReady(gateways);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Threads.start(() -> sendRequests(gateways.get(number % 3), number));
    }
    Threads.sleep(2_000);
    if (trouble) {
      record.line("the store gives machine 1 no response from now on");
      links.get(0).silence();
    }
    Threads.sleep(4_000);
    // Some servers never report that they drain: their entry is removed, and they go on to serve.
    leaving.stopBeating();
    store.put("keyed.servers", "i-app-1", "");
    leftNanos = System.nanoTime();
    record.line("the entry of i-app-1 is removed; it goes on to serve for some seconds");
    Threads.sleep(1_000);
    if (trouble) {
      links.get(0).endSilenceAfterCall("keyed.servers");
    }
    inTouchNanos = System.nanoTime() + CONTACT_MILLIS * 1_000_000;
    record.line("the store answers all machines");
    Threads.sleep(CONTACT_MILLIS + 2_500);
    stopped = true;
    record.line("%d requests reached i-app-1 from machines in touch, too late", lateRequests.get());
    return lateRequests.get() > 0;
  }

  private void checkRun(String attempt) {
    long now = System.nanoTime();
    boolean late = leftNanos != 0 && now - leftNanos > DRAIN_MILLIS * 1_000_000;
    // Machines 2 and 3 were in touch all the while.
    boolean inTouch =
        !attempt.startsWith("m1-") || inTouchNanos != 0 && now - inTouchNanos > 0;
    if (late && inTouch) {
      lateRequests.incrementAndGet();
      record.line(
          "%s reached i-app-1 %d ms after it had left and %d ms after its machine was in touch again",
          attempt, (now - leftNanos) / 1_000_000, (now - inTouchNanos) / 1_000_000);
    }
  }

  private void sendRequests(Gateway gateway, int number) throws IOException {
    try (Client client = new Client(gateway, record)) {
      for (int i = 0; !stopped; i++) {
        String attempt = "m" + (number % 3 + 1) + "-" + number + "-" + i;
        client.call("GET", Config.HOST, "/read/1", attempt, DEADLINE_MILLIS, new byte[0]);
      }
    }
  }
}
