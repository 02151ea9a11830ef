import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** One gateway, one model server and the store, with clients of several tenants. */
final class Deployment {
  /** Time after its acknowledgement by which a configuration is in force. */
  static final long CONFIG_APPLY_MILLIS = 2_000;

  /** Time within which the system answers a request or the client gives up. */
  private static final int CLIENT_TIMEOUT_MILLIS = 13_000;

  private static final String SHARED_PARTS = "5c1e07a2:800,91bd3f06:4870,";

  /** Tenant of the configuration; its only key is derived from the number. */
  record Tenant(String name, boolean isolated) {}

  private final Record record;
  private final Store store = new Store();
  private final List<Engine.Run> runs = new CopyOnWriteArrayList<>();
  private final Map<String, Tenant> tenantByAttempt = new HashMap<>();
  private final GatewayProcess gateway;
  private List<Tenant> tenants = List.of();
  private int version = 6;

  Deployment(Path directory, Record record, List<Tenant> tenants) throws Exception {
    this.record = record;
    Engine engine =
        new Engine(
            "i-7f3a91c2",
            "huvo11a",
            "kurasini",
            store,
            run -> {
              runs.add(run);
              record.line(
                  "the server runs " + run.attempt() + ", Tenant " + run.tenant()
                      + ", Cache-Salt " + run.salt() + ", parts found kept: " + run.used());
            });
    engine.start();
    configure(tenants);
    store.put("keyed.op", "version/" + Engine.MODEL, "{\"model\":\"daka510000\",\"version\":1}");
    gateway = new GatewayProcess(1, "kurasini", directory, store.address());
    gateway.start();
  }

  /** Writes a new configuration with these tenants; a tenant keeps its place and its key. */
  void configure(List<Tenant> newTenants) {
    tenants = newTenants;
    version++;
    store.put("keyed.op", "config", config());
    record.line("configuration " + version + " is acknowledged: " + newTenants);
  }

  /** Sends a request of a tenant and waits for its answer. */
  void ask(String attempt, Tenant tenant) throws Exception {
    tenantByAttempt.put(attempt, tenant);
    try (Socket socket = new Socket()) {
      socket.connect(gateway.callers(), 1_000);
      socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
      record.line("a client sends " + attempt + " with the key of " + tenant.name());
      Http.request(
          socket.getOutputStream(),
          "POST",
          "/lepu270/2f",
          Map.of(
              "Host", "jepu9.example",
              "Attempt-Id", attempt,
              "Model", Engine.MODEL,
              "Token-Count", "5750,55",
              "Prompt-Prefix", SHARED_PARTS + "0" + Integer.toHexString(attempt.hashCode()) + ":80",
              "Deadline-Ms", "12000",
              "Credential", "key" + places(tenant)),
          new byte[0]);
      Http.Response response =
          Http.readResponse(new BufferedInputStream(socket.getInputStream()));
      record.line(attempt + " is answered " + (response == null ? "nothing" : response.status()));
    }
  }

  /**
   * Returns the breaches of WALL by some requests: each use of a part that a request of another
   * tenant made, if one of the two is isolated in the newest configuration.
   */
  List<String> breaches(List<String> attempts) {
    List<String> breaches = new ArrayList<>();
    int judged = 0;
    for (Engine.Run run : runs) {
      if (!attempts.contains(run.attempt())) {
        continue;
      }
      judged++;
      Tenant user = current(tenantByAttempt.get(run.attempt()));
      run.used()
          .forEach(
              (part, maker) -> {
                Tenant other = current(tenantByAttempt.get(maker));
                if (!other.name().equals(user.name()) && (other.isolated() || user.isolated())) {
                  breaches.add(
                      run.attempt() + " of " + user + " uses part " + part + ", which " + maker
                          + " of " + other + " made");
                }
              });
    }
    if (judged != attempts.size()) {
      throw new IllegalStateException(judged + " of " + attempts + " ran");
    }
    return breaches;
  }

  /** Ends the process of the gateway. */
  void close() throws InterruptedException {
    gateway.kill();
  }

  private Tenant current(Tenant tenant) {
    return tenants.get(places(tenant));
  }

  private int places(Tenant tenant) {
    for (int place = 0; place < tenants.size(); place++) {
      if (tenants.get(place).name().equals(tenant.name())) {
        return place;
      }
    }
    throw new IllegalArgumentException("no tenant " + tenant);
  }

  private String config() {
    StringBuilder list = new StringBuilder();
    for (Tenant tenant : tenants) {
      list.append(list.isEmpty() ? "" : ",")
          .append("{\"name\":\"" + tenant.name() + "\",\"api_keys\":[\"key" + places(tenant))
          .append("\"],\"priority\":1,\"isolated\":" + tenant.isolated() + "}");
    }
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-27eya6u\","
        + "\"host\":\"jepu9.example\",\"path_prefix\":\"/lepu270/\",\"route_kind\":\"stream\","
        + "\"timeout_ms\":12000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"huvo11a\","
        + "\"max_attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,"
        + "\"gap_aim_ms\":250}],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\","
        + "\"max_conns\":240,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":32,"
        + "\"kv_capacity_tokens\":228641,\"token_kv_bytes\":327680,\"link_mbps\":1500000.0,"
        + "\"max_inflight\":12,\"models\":[{\"name\":\"daka510000\"}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[" + list + "]}";
  }
}
