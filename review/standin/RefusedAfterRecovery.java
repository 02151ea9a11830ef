import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * RECOVER: all gateways are killed, and the only engine crashes three times before a stream has
 * completed again. The gateways then refuse every request that has the usual first part in its
 * prompt, although the engine is sound.
 */
final class RefusedAfterRecovery extends Case {
  private static final int CLIENTS = 6;
  private static final int EVENTS = 25;
  private static final long EVENT_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 15_000;
  private static final long CALM_MILLIS = 6_000;

  /** Time from the kill of all gateways to their start. */
  private static final long DOWN_MILLIS = 1_400;

  private static final int CRASHES = 3;

  /** Time for which the engine is up before it crashes; a stream takes longer. */
  private static final long UP_MILLIS = 900;

  /** Time for which the engine is down. */
  private static final long ENGINE_DOWN_MILLIS = 1_000;

  private static final long RECOVER_MILLIS = 12_000;
  private static final long MEASURED_MILLIS = 15_000;

  private static final String NO_EVENTS =
      "{\"boot_epoch\":%d,\"next\":0,\"lost\":false,\"events\":[]}";

  private enum Phase {
    CALM,
    RECOVERING,
    RECOVERED,
    END
  }

  private volatile Phase phase = Phase.CALM;
  private final AtomicInteger calmSent = new AtomicInteger();
  private final AtomicInteger calmServed = new AtomicInteger();
  private final AtomicInteger lateSent = new AtomicInteger();
  private final AtomicInteger lateServed = new AtomicInteger();
  private int lives;

  public static void main(String[] arguments) throws IOException {
    run(new RefusedAfterRecovery(), arguments);
  }

  /** Engine that takes 2.5 s for each stream. */
  private final class Engine extends Server {
    Engine(String id) throws IOException {
      super(id, "llm", RefusedAfterRecovery.this.store, RefusedAfterRecovery.this.record);
    }

    @Override
    int slots() {
      return 64;
    }

    @Override
    String furtherFields() {
      return ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";
    }

    @Override
    void run(Http.Message request, Connection connection)
        throws IOException, InterruptedException {
      if (request.path().equals("/-/kv-events")) {
        Thread.sleep(Long.parseLong(request.header("Wait-Ms")));
        connection.out.write(
            Http.message("HTTP/1.1 200 OK", Map.of(), NO_EVENTS.formatted(bornMillis).getBytes()));
        return;
      }
      String attempt = recordRun(request);
      write(
          connection,
          "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: " + id + "." + attempt
              + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream"
              + "\r\nTransfer-Encoding: chunked\r\n\r\n");
      String last = request.header("Last-Event-Id");
      int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
      for (int event = first; event <= EVENTS && !crashed; event++) {
        Thread.sleep(EVENT_MILLIS);
        writeChunk(connection, "id: " + event + "\ndata: token " + event + "\n\n");
      }
      writeChunk(connection, "");
    }

    private void writeChunk(Connection connection, String text) throws IOException {
      write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void write(Connection connection, String text) throws IOException {
      connection.out.write(text.getBytes(StandardCharsets.US_ASCII));
    }
  }

  @Override
  boolean isBroken() throws IOException, InterruptedException {
    store.put(
        "keyed.op",
        "config",
        Config.config(1, Config.promptRoute("r1", "/brief/", "llm", DEADLINE_MILLIS), "llm"));
    Engine engine = startEngine();
    List<Gateway> gateways = startGateways(3);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Threads.start(() -> sendRequests(gateways.get(number % 3), number));
    }
    Threads.sleep(CALM_MILLIS);
    phase = Phase.RECOVERING;
    if (trouble) {
      record.line("all gateways are killed");
      for (Gateway gateway : gateways) {
        gateway.kill();
        gateway.awaitEnd(1_000);
      }
      Threads.sleep(DOWN_MILLIS);
      for (Gateway gateway : gateways) {
        gateway.start();
      }
      awaitReady(gateways);
    }
    record.line("the machines are back");
    long backNanos = System.nanoTime();
    for (int i = 0; trouble && i < CRASHES; i++) {
      Threads.sleep(UP_MILLIS);
      engine.crash();
      record.line("%s crashes", engine.id);
      removeEntryLater(engine.id);
      Threads.sleep(ENGINE_DOWN_MILLIS);
      engine = startEngine();
    }
    Threads.sleep(RECOVER_MILLIS - (System.nanoTime() - backNanos) / 1_000_000);
    record.line("recover_s has passed since the machines are back");
    phase = Phase.RECOVERED;
    Threads.sleep(MEASURED_MILLIS);
    phase = Phase.END;
    Threads.sleep(2_000);
    record.line("before the final fault %d of %d requests were served", calmServed.get(), calmSent.get());
    record.line("after recover_s %d of %d requests were served", lateServed.get(), lateSent.get());
    return 4 * calmServed.get() >= calmSent.get() && 4 * lateServed.get() < lateSent.get();
  }

  private Engine startEngine() throws IOException {
    lives++;
    Engine engine = new Engine("i-llm-" + lives);
    record.line("%s starts", engine.id);
    return engine;
  }

  /** The store removes an entry after three heartbeat intervals of silence. */
  private void removeEntryLater(String id) {
    Threads.start(
        () -> {
          Threads.sleep(3 * Server.HEARTBEAT_MILLIS);
          store.put("keyed.servers", id, "");
        });
  }

  private void sendRequests(Gateway gateway, int number) {
    for (int i = 0; phase != Phase.END; i++) {
      Phase sentIn = phase;
      boolean served = isServed(gateway, number, i);
      if (sentIn == Phase.CALM && phase == Phase.CALM) {
        calmSent.incrementAndGet();
        calmServed.addAndGet(served ? 1 : 0);
      } else if (sentIn == Phase.RECOVERED) {
        lateSent.incrementAndGet();
        lateServed.addAndGet(served ? 1 : 0);
      }
      Threads.sleep(served ? 50 : 300);
    }
  }

  private boolean isServed(Gateway gateway, int number, int i) {
    try (Client client = new Client(gateway, record)) {
      client.setFurtherHeaders(
          Map.of(
              "Model", "m0",
              "Token-Count", "5632," + EVENTS,
              "Prompt-Prefix", "5c1e07a2:512,91bd3f06:4870," + (1000 * number + i) + ":250"));
      Http.Message answer =
          client.call(
              "POST", Config.HOST, "/brief/1", "b" + number + "-" + i, DEADLINE_MILLIS, new byte[9]);
      return answer != null && answer.status() == 200 && answer.complete();
    } catch (IOException e) {
      // The machine is down.
      return false;
    }
  }
}
