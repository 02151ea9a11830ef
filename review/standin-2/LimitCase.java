import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A new configuration raises the limit of the body of a request. Counts the proper requests of
 * clients with kept connections that the gateway ends with a status of its own from 300 to 499.
 */
public final class LimitCase {
  private static final int CLIENTS = 25;
  private static final int REQUESTS_BEFORE = 4;
  private static final int REQUESTS_AFTER = 4;
  private static final int BODY_BYTES = 600;
  private static final long CONFIG_APPLY_MILLIS = 2_000;

  /** Denied requests that the rule allows: a number, and one in so many. */
  private static final int ALLOWED = 5;

  private static final int ALLOWED_ONE_IN = 500;

  private static final long USUAL_LIMIT = 4_194_304;
  private static final long RAISED_LIMIT = 2_147_483_648L;

  private final Record record;
  private final GatewayProcess gateway;
  private final Map<Integer, Integer> answers = new TreeMap<>();
  private int requests;
  private int denied;

  private LimitCase(Record record, GatewayProcess gateway) {
    this.record = record;
    this.gateway = gateway;
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
      long limit = trouble ? RAISED_LIMIT : USUAL_LIMIT;
      status = play(limit, Path.of(arguments[1]), record) ? 0 : 1;
      record.say(status == 0 ? "the rule held" : "DENIED is broken");
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(status);
  }

  private static boolean play(long limit, Path directory, Record record) throws Exception {
    Store store = new Store();
    new PlainServer("i-02d9e6b4", "kafi81c", "kurasini", store).start();
    store.put("keyed.op", "config", config(7, USUAL_LIMIT));
    GatewayProcess gateway = new GatewayProcess(1, "kurasini", directory, store.address());
    gateway.start();
    try {
      LimitCase played = new LimitCase(record, gateway);
      List<Client> clients = new ArrayList<>();
      for (int number = 1; number <= CLIENTS; number++) {
        clients.add(played.new Client(number));
      }
      played.round(clients, REQUESTS_BEFORE);
      store.put("keyed.op", "config", config(8, limit));
      record.line("configuration 8 is acknowledged, with max_body_bytes " + limit);
      Thread.sleep(2 * CONFIG_APPLY_MILLIS);
      played.round(clients, REQUESTS_AFTER);
      double allowed = ALLOWED + (double) played.requests / ALLOWED_ONE_IN;
      record.say(
          String.format(
              Locale.ROOT,
              "%d requests, answers by status %s, denied %d, allowed %.1f",
              played.requests,
              played.answers,
              played.denied,
              allowed));
      return played.denied <= allowed;
    } finally {
      gateway.kill();
    }
  }

  private void round(List<Client> clients, int count) throws Exception {
    for (int i = 0; i < count; i++) {
      for (Client client : clients) {
        client.ask();
      }
    }
  }

  /** Client that keeps its connection open as long as the gateway does. */
  private final class Client {
    private final int number;
    private Socket socket;
    private InputStream in;
    private int asked;

    private Client(int number) {
      this.number = number;
    }

    private void ask() throws IOException {
      if (socket == null) {
        socket = new Socket();
        socket.connect(gateway.callers(), 1_000);
        socket.setSoTimeout(2_000);
        in = new BufferedInputStream(socket.getInputStream());
      }
      String attempt = "c" + number + "-" + ++asked;
      Http.request(
          socket.getOutputStream(),
          "POST",
          "/filo73/de11/2f",
          Map.of(
              "Host", "voka93.example",
              "Attempt-Id", attempt,
              "Deadline-Ms", "1000",
              "Credential", "ctnfzs989anu6wsjnban"),
          new byte[BODY_BYTES]);
      Http.Response response = Http.readResponse(in);
      if (response == null) {
        throw new IOException("no answer to " + attempt);
      }
      requests++;
      answers.merge(response.status(), 1, Integer::sum);
      boolean own = response.header("Response-Stamp").isEmpty();
      boolean counted =
          own
              && response.status() >= 300
              && response.status() < 500
              && !List.of(408, 421, 429).contains(response.status());
      denied += counted ? 1 : 0;
      record.line(
          attempt + " is answered " + response.status() + (counted ? ", denied" : ""));
      if (response.header("Connection").equalsIgnoreCase("close")) {
        socket.close();
        socket = null;
      }
    }
  }

  private static String config(int version, long maxBodyBytes) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-6sz9frg\","
        + "\"host\":\"voka93.example\",\"path_prefix\":\"/filo73/\",\"route_kind\":\"idempotent\","
        + "\"timeout_ms\":1000,\"target_latency_ms\":193,\"priority\":2,\"service\":\"kafi81c\","
        + "\"max_attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}],"
        + "\"services\":[{\"name\":\"kafi81c\",\"health_path\":\"/health\",\"max_conns\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":" + maxBodyBytes + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"sese880\",\"api_keys\":[\"ctnfzs989anu6wsjnban\"],"
        + "\"priority\":1,\"isolated\":false}]}";
  }
}
