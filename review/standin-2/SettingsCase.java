import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;

/**
 * The store moves to another address, which the settings files of two gateways name from then on; one
 * of them gets SIGHUP. Checks that a configuration written afterwards comes into force there.
 */
public final class SettingsCase {
  private static final String KEPT_KEY = "ctnfzs989anu6wsjnban";
  private static final String DROPPED_KEY = "fqasnmgkcuyj8pjbvk9m";
  private static final int REQUESTS = 10;

  /** Time without disruption after which a machine is in touch. */
  private static final long CONTACT_MILLIS = 3_000;

  /** Time after its acknowledgement by which a configuration is in force. */
  private static final long CONFIG_APPLY_MILLIS = 2_000;

  private SettingsCase() {}

  /**
   * Plays the case.
   *
   * @param arguments its folder and a folder for temporary files
   */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      status = play(trouble, Path.of(arguments[1]), record) ? 0 : 1;
      record.say(status == 0 ? "the rule held" : "CONFIG is broken");
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(status);
  }

  private static boolean play(boolean trouble, Path directory, Record record) throws Exception {
    Store store = new Store();
    PlainServer server = new PlainServer("i-02d9e6b4", "kafi81c", "kurasini", store);
    server.start();
    store.put("keyed.op", "config", config(7, true));
    GatewayProcess gateway = new GatewayProcess(1, "kurasini", directory, store.address());
    GatewayProcess other = new GatewayProcess(2, "ubungo", directory, store.address());
    gateway.start();
    other.start();
    try {
      if (ask(gateway, record, "before-kept", KEPT_KEY) != 200
          || ask(gateway, record, "before-dropped", DROPPED_KEY) != 200) {
        throw new IOException("requests fail before the change");
      }
      if (trouble) {
        store.move();
        gateway.changeSetting("platform.address", store.address());
        other.changeSetting("platform.address", store.address());
        gateway.signal("HUP");
        record.line("the store has moved, the settings files name its address, one gets SIGHUP");
      }
      Thread.sleep(2 * CONTACT_MILLIS);
      store.put("keyed.op", "config", config(8, false));
      record.line("configuration 8 is acknowledged; it has dropped a key");
      Thread.sleep(2 * CONFIG_APPLY_MILLIS);
      int ran = 0;
      for (int i = 1; i <= REQUESTS; i++) {
        if (ask(gateway, record, "after-kept-" + i, KEPT_KEY) != 200) {
          throw new IOException("a request with the kept key fails");
        }
        ask(gateway, record, "after-dropped-" + i, DROPPED_KEY);
        ran += server.hasRun("after-dropped-" + i) ? 1 : 0;
      }
      record.say(ran + " of " + REQUESTS + " requests with the dropped key ran");
      return ran == 0;
    } finally {
      gateway.kill();
      other.kill();
    }
  }

  private static int ask(GatewayProcess gateway, Record record, String attempt, String key)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(gateway.callers(), 1_000);
      socket.setSoTimeout(2_000);
      Http.request(
          socket.getOutputStream(),
          "POST",
          "/fiti832/ti23/2f",
          Map.of(
              "Host", "jepu9.example",
              "Attempt-Id", attempt,
              "Deadline-Ms", "1000",
              "Credential", key),
          new byte[0]);
      Http.Response response = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
      if (response == null) {
        throw new IOException("no answer to " + attempt);
      }
      record.line(attempt + " is answered " + response.status());
      return response.status();
    }
  }

  private static String config(int version, boolean both) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-6sz9frg\","
        + "\"host\":\"jepu9.example\",\"path_prefix\":\"/fiti832/\","
        + "\"route_kind\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":193,"
        + "\"priority\":2,\"service\":\"kafi81c\",\"max_attempts\":1,\"anonymous\":false,"
        + "\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"kafi81c\","
        + "\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
        + "\"sese880\",\"api_keys\":[\"" + KEPT_KEY + "\"" + (both ? ",\"" + DROPPED_KEY + "\"" : "")
        + "],\"priority\":1,\"isolated\":false}]}";
  }
}
