/** Configurations of the operator. */
final class Config {
  static final String KEY = "ctnfzs989anu6wsjnban";
  static final String HOST = "jepu9.example";

  private Config() {}

  /** Returns a route to a service. */
  static String route(String name, String prefix, String kind, String service, long timeoutMillis) {
    return ("{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"route_kind\":\"%s\","
            + "\"timeout_ms\":%d,\"target_latency_ms\":150,\"priority\":2,\"service\":\"%s\","
            + "\"max_attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}")
        .formatted(name, HOST, prefix, kind, timeoutMillis, service);
  }

  /** Returns a route for streams that may be resumed. */
  static String streamRoute(String name, String prefix, String service, long timeoutMillis) {
    return route(name, prefix, "stream", service, timeoutMillis)
        .replace("\"target_latency_ms\":150", "\"target_latency_ms\":600")
        .replace("\"resumable\":false", "\"resumable\":true,\"gap_aim_ms\":200");
  }

  /** Returns a route for streams of engines, whose requests describe their prompts. */
  static String promptRoute(String name, String prefix, String service, long timeoutMillis) {
    return streamRoute(name, prefix, service, timeoutMillis)
        .replace("\"sticky\":false", "\"sticky\":true");
  }

  /** Returns a configuration with routes and services. */
  static String config(int version, String routes, String... services) {
    StringBuilder list = new StringBuilder();
    for (String service : services) {
      list.append(list.isEmpty() ? "" : ",")
          .append("{\"name\":\"" + service + "\",\"health_path\":\"/health\",\"max_conns\":110}");
    }
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"sese880\",\"api_keys\":[\"%s\"],\"priority\":1,"
            + "\"isolated\":false}]}")
        .formatted(version, routes, list, KEY);
  }
}
