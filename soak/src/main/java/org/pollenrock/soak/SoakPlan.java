package org.pollenrock.soak;

import org.pollenrock.standin.platform.KeyedStoreStandin;

/** Configurations that the operator writes, and what right answers look like. */
final class SoakPlan {
  /** Service of the engines. */
  static final String ENGINES = "llm";

  /** Service of the plain servers. */
  static final String PLAIN = "ledger";

  /** Time that callers allow, in milliseconds. */
  static final long DEADLINE_MILLIS = 4_000;

  private static final String TOPIC = "keyed.op";
  private static final String WEIGHTS = "version/" + SoakServer.MODEL;

  private SoakPlan() {}

  /** Writes a configuration with a route of each kind. */
  static void configure(KeyedStoreStandin store, long version) {
    store.put(
        TOPIC,
        "config",
        ("{\"version\":%d,\"routes\":[%s,%s,%s,%s,%s],\"services\":[%s,%s],\"limits\":{"
             + "\"max_header_bytes\":4096,\"max_body_bytes\":20000,\"header_timeout_ms\":8000,"
             + "\"idle_timeout_ms\":8000},\"tenants\":[{\"name\":\"owner\",\"api_keys\":[\"key\"],"
             + "\"isolated\":true}]}")
            .formatted(
                version,
                route("plain", "idempotent", PLAIN, false),
                route("post", "non_idempotent", PLAIN, false),
                longRoute(),
                route("stream", "stream", ENGINES, true),
                route("once", "stream", ENGINES, false),
                service(PLAIN),
                service(ENGINES)));
  }

  /** Names new weights. */
  static void nameWeights(KeyedStoreStandin store, long version) {
    store.put(
        TOPIC, WEIGHTS, "{\"model\":\"%s\",\"version\":%d}".formatted(SoakServer.MODEL, version));
  }

  /** Version of the weights that was named last; 1 before any was. */
  static long namedVersion(KeyedStoreStandin store) {
    String named = store.newest(TOPIC, WEIGHTS);
    return named == null ? 1 : Long.parseLong(named.replaceAll(".*:(\\d+)}", "$1"));
  }

  /** Body of the right answer to a plain call. */
  static String plainBody(String attempt) {
    return "ran " + attempt;
  }

  /** One event of the right stream. */
  static String event(String attempt, int number) {
    return "id: " + number + "\ndata: " + attempt + "/" + number + "\n\n";
  }

  /** The whole right stream. */
  static String stream(String attempt) {
    StringBuilder whole = new StringBuilder();
    for (int event = 1; event <= SoakServer.EVENTS; event++) {
      whole.append(event(attempt, event));
    }
    return whole.toString();
  }

  private static String service(String name) {
    return "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":200}".formatted(name);
  }

  /** Route of requests that run longer than a gateway takes to stop. */
  private static String longRoute() {
    return route("long", "non_idempotent", PLAIN, false)
        .replace(
            "\"timeout_ms\":" + DEADLINE_MILLIS,
            "\"timeout_ms\":" + 2 * SoakServer.LONG_RUN_MILLIS);
  }

  private static String route(String path, String kind, String service, boolean resumable) {
    return ("{\"name\":\"r-%s\",\"host\":\"soak.example\",\"path_prefix\":\"/%s/\","
            + "\"route_kind\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":500,\"priority\":2,"
            + "\"service\":\"%s\",\"max_attempts\":3,\"anonymous\":false,\"sticky\":%s,"
            + "\"resumable\":%s}")
        .formatted(path, path, kind, DEADLINE_MILLIS, service, service.equals(ENGINES), resumable);
  }
}
