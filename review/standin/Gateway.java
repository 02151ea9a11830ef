import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the gateway, started with the command and the template of the deploy file. */
final class Gateway {
  /** Time from SIGTERM to SIGKILL, as in the site files, in seconds. */
  static final int GRACE_SECONDS = 8;

  /** Loopback network of this run, since the template gives the operators' port a fixed number. */
  private static final String NETWORK =
      "127.%d.%d.".formatted(new Random().nextInt(10, 250), new Random().nextInt(1, 250));

  private final String name;
  private final String ip;
  private final int port;
  private final Path directory;
  private final Map<String, String> fields;
  private Process process;

  Gateway(int number, Path directory, String storeAddress) throws IOException {
    this.name = "front-z1-" + number;
    this.ip = NETWORK + number;
    this.port = freePort(ip);
    this.directory = directory;
    fields =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("zone", "z1"),
            Map.entry("ip", ip),
            Map.entry("listen.front", ip + ":" + port),
            Map.entry("listen.ready", ip + ":" + freePort(ip)),
            Map.entry("internal_ports.0", Integer.toString(freePort(ip))),
            Map.entry("platform.address", storeAddress),
            Map.entry("limits.memory_mb", "335"),
            Map.entry("bounds.grace_s", Integer.toString(GRACE_SECONDS)),
            Map.entry("bounds.lease_ms", "3000"),
            Map.entry("bounds.version_ms", "6000"),
            Map.entry("bounds.contact_ms", "3000"),
            Map.entry("bounds.drain_ms", "2000"),
            Map.entry("bounds.retry_budget_ratio", "0.2"),
            Map.entry("bounds.retry_slack", "58"),
            Map.entry("bounds.budget_window_s", "10"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  String ip() {
    return ip;
  }

  int port() {
    return port;
  }

  /** Starts the process. */
  void start() throws IOException {
    Path settings = directory.resolve(name + ".yaml");
    Files.writeString(settings, settings());
    ProcessBuilder builder = new ProcessBuilder(command());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("POLLENROCK_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  /** Waits until the process reports that it is ready; returns whether it did in time. */
  boolean awaitReady(long millis) {
    return Server.await(() -> isReady() ? Boolean.TRUE : null, millis) != null;
  }

  private boolean isReady() {
    String[] address = fields.get("listen.ready").split(":");
    try (Socket probe = new Socket(address[0], Integer.parseInt(address[1]))) {
      probe.setSoTimeout(1_000);
      probe
          .getOutputStream()
          .write("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
      Http.Message answer = Http.read(probe.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      // The process does not listen yet.
      return false;
    }
  }

  /** Sends a signal to the process, by its id. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the end of the process; returns whether it ended in time. */
  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(7, line.length() - 1).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no command");
  }

  private String settings() throws IOException {
    Matcher matcher =
        Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}")
            .matcher(Files.readString(Path.of("deploy/settings.yaml.template")));
    StringBuilder text = new StringBuilder();
    while (matcher.find()) {
      String value = fields.get(matcher.group(1));
      matcher.appendReplacement(text, matcher.group(2) == null ? value : '"' + value + '"');
    }
    return matcher.appendTail(text).toString();
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** Returns the processes of a small deployment. */
  static List<Gateway> startAll(int count, Path directory, Store store) throws IOException {
    List<Gateway> gateways = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      Gateway gateway = new Gateway(number, directory, store.address());
      gateway.start();
      gateways.add(gateway);
    }
    return gateways;
  }
}
