import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway as a process of its own, with the command and the settings of the deploy folder. */
final class GatewayProcess {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACE = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

  private final Path directory;
  private final String ip;
  private final int port = freePort();
  private final Map<String, String> values = new HashMap<>();
  private Process process;

  /**
   * Creates a gateway that does not run yet.
   *
   * @param number number of the machine, from 1
   * @param zone its zone
   * @param directory folder for its settings and its log
   * @param storeAddress address of the store
   */
  GatewayProcess(int number, String zone, Path directory, String storeAddress) throws IOException {
    this.directory = directory;
    long pid = ProcessHandle.current().pid();
    this.ip = "127." + (16 + pid / 250 % 200) + "." + (1 + pid % 250) + "." + number;
    this.values.putAll(
        Map.ofEntries(
            Map.entry("node_name", "front-" + number),
            Map.entry("zone", zone),
            Map.entry("ip", ip),
            Map.entry("listen.front", ip + ":" + port),
            Map.entry("listen.ready", ip + ":" + freePort()),
            Map.entry("internal_ports.0", Integer.toString(freePort())),
            Map.entry("platform.address", storeAddress),
            Map.entry("limits.memory_mb", "560"),
            Map.entry("bounds.grace_s", "8"),
            Map.entry("bounds.lease_ms", "3000"),
            Map.entry("bounds.version_ms", "6000"),
            Map.entry("bounds.contact_ms", "3000"),
            Map.entry("bounds.drain_ms", "2000"),
            Map.entry("bounds.retry_budget_ratio", "0.2"),
            Map.entry("bounds.retry_slack", "56"),
            Map.entry("bounds.budget_window_s", "10")));
  }

  /** Starts the process and waits until it says that it is ready. */
  void start() throws Exception {
    Path settings = writeSettings();
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("POLLENROCK_NODE_FILE", settings.toString());
    File log = directory.resolve(values.get("node_name") + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.redirectErrorStream(true);
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!isReady()) {
      if (System.nanoTime() > until || !process.isAlive()) {
        throw new IOException("the gateway does not become ready");
      }
      Thread.sleep(100);
    }
  }

  /** Changes a setting in the file. */
  void changeSetting(String name, String value) throws IOException {
    values.put(name, value);
    writeSettings();
  }

  private Path writeSettings() throws IOException {
    String template = Files.readString(Path.of("deploy/settings.yaml.template"));
    Path settings = directory.resolve(values.get("node_name") + ".yaml");
    Files.writeString(settings, render(template));
    return settings;
  }

  /** Address of its callers. */
  InetSocketAddress callers() {
    return new InetSocketAddress(ip, port);
  }

  /** Whether its process runs. */
  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal to the process. */
  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Kills the process. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  private boolean isReady() {
    String[] ready = values.get("listen.ready").split(":");
    try (Socket socket = new Socket(ready[0], Integer.parseInt(ready[1]))) {
      socket.setSoTimeout(2_000);
      Http.request(
          socket.getOutputStream(), "GET", "/-/ready", Map.of("Host", "ready"), new byte[0]);
      Http.Response response = Http.readResponse(socket.getInputStream());
      return response != null && response.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private String render(String template) {
    Matcher places = PLACE.matcher(template);
    StringBuilder settings = new StringBuilder();
    while (places.find()) {
      String value = values.getOrDefault(places.group(1), "");
      boolean quoted = places.group(2) != null;
      places.appendReplacement(
          settings, Matcher.quoteReplacement(quoted ? "\"" + value + "\"" : value));
    }
    return places.appendTail(settings).toString();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
