import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All gateways are killed, and the only model server crashes three times before a long stream has
 * completed again, while short ones complete. Checks that requests are served after the time that
 * the recovery may take.
 */
public final class RecoverCase {
  private static final int LONG_CLIENTS = 8;
  private static final int LONG_EVENTS = 40;
  private static final int SHORT_EVENTS = 2;
  private static final int OWN_TOKENS = 250;
  private static final int GATEWAYS = 2;
  private static final long CALM_MILLIS = 10_000;
  private static final long DOWN_MILLIS = 1_200;
  private static final int CRASHES = 3;
  private static final long UP_MILLIS = 2_200;
  private static final long ENGINE_DOWN_MILLIS = 1_000;
  private static final long RECOVER_MILLIS = 12_000;
  private static final long JUDGED_MILLIS = 20_000;

  private enum Phase {
    CALM,
    RECOVERING,
    JUDGED,
    END
  }

  private final Record record;
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final AtomicInteger calmSent = new AtomicInteger();
  private final AtomicInteger calmServed = new AtomicInteger();
  private final AtomicInteger judgedSent = new AtomicInteger();
  private final AtomicInteger judgedServed = new AtomicInteger();
  private final AtomicInteger attempts = new AtomicInteger();
  private volatile Phase phase = Phase.CALM;

  private RecoverCase(Record record) {
    this.record = record;
  }

  /**
   * Plays the case.
   *
   * @param arguments its folder and a folder for temporary files
   */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      status = new RecoverCase(record).play(trouble, Path.of(arguments[1])) ? 0 : 1;
      record.say(status == 0 ? "the rule held" : "RECOVER is broken");
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(status);
  }

  private boolean play(boolean trouble, Path directory) throws Exception {
    Store store = new Store();
    store.put("keyed.op", "config", config());
    store.put(
        "keyed.op", "version/" + CrashingEngine.MODEL, "{\"model\":\"daka510000\",\"version\":1}");
    int lives = 1;
    CrashingEngine engine = new CrashingEngine("i-llm-1", "huvo11a", store, record);
    for (int number = 1; number <= GATEWAYS; number++) {
      gateways.add(new GatewayProcess(number, "kurasini", directory, store.address()));
      gateways.getLast().start();
    }
    for (int client = 0; client < LONG_CLIENTS; client++) {
      GatewayProcess gateway = gateways.get(client % GATEWAYS);
      Thread.ofVirtual().start(() -> ask(gateway, "/lepu270/2f", "5c1e07a2", 5_000, LONG_EVENTS));
    }
    GatewayProcess last = gateways.getLast();
    Thread.ofVirtual().start(() -> ask(last, "/xapu221/2f", "91bd3f06", 340, SHORT_EVENTS));
    Thread.sleep(CALM_MILLIS);
    phase = Phase.RECOVERING;
    if (trouble) {
      for (GatewayProcess gateway : gateways) {
        gateway.kill();
      }
      record.line("all gateways are killed");
      Thread.sleep(DOWN_MILLIS);
      for (GatewayProcess gateway : gateways) {
        gateway.start();
      }
    }
    long back = System.nanoTime();
    record.line("the machines are back");
    for (int crash = 0; trouble && crash < CRASHES; crash++) {
      Thread.sleep(UP_MILLIS);
      engine.crash();
      Thread.sleep(ENGINE_DOWN_MILLIS);
      engine = new CrashingEngine("i-llm-" + ++lives, "huvo11a", store, record);
    }
    Thread.sleep(RECOVER_MILLIS - (System.nanoTime() - back) / 1_000_000);
    record.line("recover_s has passed since the machines are back");
    phase = Phase.JUDGED;
    Thread.sleep(JUDGED_MILLIS);
    phase = Phase.END;
    record.say("before the final fault " + calmServed + " of " + calmSent + " requests were served");
    record.say("after recover_s " + judgedServed + " of " + judgedSent + " requests were served");
    for (GatewayProcess gateway : gateways) {
      gateway.kill();
    }
    if (4 * calmServed.get() < calmSent.get()) {
      throw new IOException("too few requests are served before the final fault");
    }
    return 4 * judgedServed.get() >= judgedSent.get();
  }

  /** Sends requests one after the other until the end of the case. */
  private void ask(
      GatewayProcess gateway, String path, String sharedPart, int sharedTokens, int events) {
    while (phase != Phase.END) {
      Phase sent = phase;
      String attempt = "b" + attempts.incrementAndGet();
      boolean served = false;
      try (Socket socket = new Socket()) {
        socket.connect(gateway.callers(), 1_000);
        socket.setSoTimeout(12_000);
        Http.request(
            socket.getOutputStream(),
            "POST",
            path,
            Map.of(
                "Host", "jepu9.example",
                "Attempt-Id", attempt,
                "Model", CrashingEngine.MODEL,
                "Token-Count", (sharedTokens + OWN_TOKENS) + "," + events,
                "Prompt-Prefix", sharedPart + ":" + sharedTokens + ","
                    + Integer.toHexString(attempt.hashCode()) + ":" + OWN_TOKENS,
                "Deadline-Ms", "12000",
                "Credential", "ctnfzs989anu6wsjnban"),
            new byte[0]);
        Http.Response answer = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
        served = answer != null && answer.status() == 200 && answer.complete();
        record.line(
            attempt + " on " + path + " is answered "
                + (answer == null ? "nothing" : answer.status() + (served ? "" : ", not whole")));
      } catch (IOException e) {
        record.line(attempt + " on " + path + " finds no machine");
      }
      if (sent == Phase.CALM && phase == Phase.CALM) {
        calmSent.incrementAndGet();
        calmServed.addAndGet(served ? 1 : 0);
      } else if (sent == Phase.JUDGED) {
        judgedSent.incrementAndGet();
        judgedServed.addAndGet(served ? 1 : 0);
      }
      try {
        Thread.sleep(served ? 50 : 300);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[" + route("r-27eya6u", "/lepu270/", 12_000, true) + ","
        + route("r-6sz9frg", "/xapu221/", 2_500, false) + "],\"services\":[{\"name\":\"huvo11a\","
        + "\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":32,\"kv_capacity_tokens\":228641,\"token_kv_bytes\":327680,"
        + "\"link_mbps\":1500000.0,\"max_inflight\":12,\"models\":[{\"name\":\"daka510000\"}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
        + "\"sese880\",\"api_keys\":[\"ctnfzs989anu6wsjnban\"],\"priority\":1,"
        + "\"isolated\":false}]}";
  }

  private static String route(String name, String prefix, int timeoutMillis, boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"jepu9.example\",\"path_prefix\":\"" + prefix
        + "\",\"route_kind\":\"stream\",\"timeout_ms\":" + timeoutMillis
        + ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":"
        + (resumable ? 2 : 1) + ",\"anonymous\":false,\"sticky\":true,\"resumable\":" + resumable
        + ",\"gap_aim_ms\":250}";
  }
}
