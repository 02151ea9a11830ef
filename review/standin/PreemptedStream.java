import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a machine is stopped and started again, and a server preempts a stream that the machine has
 * taken since. The gateway gives the stream up because of the server's silence, although its retry
 * budget does not allow it to go on elsewhere, and breaks it off.
 */
final class PreemptedStream extends Case {
  private static final int STREAMS = 4;
  private static final int EVENTS = 12;
  private static final long EVENT_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 15_000;

  /** Event after which the first server preempts a stream. */
  private static final int PREEMPTED_AFTER = 4;

  /** Time until the preempted stream has its memory again and has been read in. */
  private static final long PREEMPTED_MILLIS = 1_500;

  /** Time from the start of the machines to the start of the traffic. */
  private static final long LEAD_MILLIS = 15_000;

  /** Time after SIGTERM that counts as planned work: 1 s more than the grace period. */
  private static final long PLANNED_MILLIS = (Gateway.GRACE_SECONDS + 1) * 1_000L;

  private volatile long stoppedNanos;

  public static void main(String[] arguments) throws IOException {
    run(new PreemptedStream(), arguments);
  }

  /** Server of streams; its memory may be too small for all of them. */
  private final class StreamServer extends Server {
    private final boolean preempts;

    StreamServer(String id, boolean preempts) throws IOException {
      super(id, "llm", PreemptedStream.this.store, PreemptedStream.this.record);
      this.preempts = preempts;
    }

    @Override
    void run(Http.Message request, Connection connection)
        throws IOException, InterruptedException {
      String attempt = recordRun(request);
      String last = request.header("Last-Event-Id");
      int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
      try {
        write(
            connection,
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: " + id + "." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = first; event <= EVENTS; event++) {
          Thread.sleep(EVENT_MILLIS);
          writeChunk(connection, "id: " + event + "\ndata: token " + event + "\n\n");
          if (preempts && event == PREEMPTED_AFTER) {
            record.line("%s preempts %s", id, attempt);
            Thread.sleep(PREEMPTED_MILLIS);
            record.line("%s goes on with %s", id, attempt);
          }
        }
        writeChunk(connection, "");
      } catch (IOException e) {
        record.line("the gateway has closed the connection of the run of %s by %s", attempt, id);
        throw e;
      }
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
        Config.config(1, Config.streamRoute("r1", "/brief/", "llm", DEADLINE_MILLIS), "llm"));
    new StreamServer("i-llm-1", true);
    new StreamServer("i-llm-2", false);
    List<Gateway> gateways = startGateways(3);
    Threads.sleep(LEAD_MILLIS);
    if (trouble) {
      restart(gateways.get(0));
    }
    AtomicInteger cut = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(STREAMS);
    for (int i = 0; i < STREAMS; i++) {
      String attempt = "s" + i;
      Threads.start(
          () -> {
            if (isCut(gateways.get(0), attempt)) {
              cut.incrementAndGet();
            }
            done.countDown();
          });
    }
    done.await();
    record.line("%d of %d streams were cut off", cut.get(), STREAMS);
    return cut.get() > 0;
  }

  /** Stops and starts a machine, as in a roll of all machines in turn. */
  private void restart(Gateway gateway) throws IOException, InterruptedException {
    stoppedNanos = System.nanoTime();
    gateway.signal("TERM");
    record.line("SIGTERM to machine 1");
    if (!gateway.awaitEnd(PLANNED_MILLIS)) {
      throw new IOException("the gateway did not stop");
    }
    gateway.start();
    awaitReady(List.of(gateway));
    record.line("machine 1 is ready again, %d ms after SIGTERM", sinceStopMillis());
  }

  private long sinceStopMillis() {
    return (System.nanoTime() - stoppedNanos) / 1_000_000;
  }

  /** Reads a stream; returns whether it was cut off around the planned stop. */
  private boolean isCut(Gateway gateway, String attempt) {
    String state;
    try (Client client = new Client(gateway, record)) {
      Http.Message answer =
          client.call("POST", Config.HOST, "/brief/1", attempt, DEADLINE_MILLIS, new byte[100]);
      if (answer != null && (answer.status() != 200 || answer.complete())) {
        return false;
      }
      state = answer == null ? "without an answer" : "after " + answer.body().length + " bytes";
    } catch (IOException e) {
      state = e.toString();
    }
    if (stoppedNanos == 0) {
      record.line("%s was cut off %s", attempt, state);
      return true;
    }
    record.line("%s was cut off %s, %d ms after SIGTERM", attempt, state, sinceStopMillis());
    return sinceStopMillis() < PLANNED_MILLIS;
  }
}
