package org.pollenrock.soak;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.net.LinkRelay;
import org.pollenrock.standin.platform.KeyedStoreStandin;

/** One gateway as a process of its own, with relays to its callers and to the store. */
final class GatewayProcess {
  /** Time from a stop to the kill, in seconds, as the settings tell the gateway. */
  static final int GRACE_SECONDS = 5;

  /** Maximum time until a process has started its program, after which it is signalled anyway. */
  private static final long RUNTIME_START_NANOS = 20_000_000_000L;

  /** Interval at which a starting process is looked at, in milliseconds. */
  private static final long START_CHECK_MILLIS = 20;

  private static final String MAIN = "org.pollenrock.platform.PlatformMain";

  private final String name;
  private final int number;
  private final int port;
  private final Path directory;
  private final LinkRelay storeLink;
  private final LinkRelay callerLink;
  private volatile Process process;
  private int starts;
  private long startedNanos;
  private long logSizeAtStart;
  private volatile long disturbedNanos;
  private volatile boolean stopping;

  GatewayProcess(int number, Path directory, EventLoopGroup group, KeyedStoreStandin store) {
    this.number = number;
    this.name = "front-" + number;
    this.directory = directory;
    this.port = freePort();
    this.storeLink = new LinkRelay(group, store::address, Duration.ZERO);
    this.callerLink = new LinkRelay(group, () -> address(1), Duration.ZERO);
  }

  String name() {
    return name + "." + starts;
  }

  LinkRelay storeLink() {
    return storeLink;
  }

  LinkRelay callerLink() {
    return callerLink;
  }

  /** Address of its callers, past the relay. */
  InetSocketAddress callers() {
    return new InetSocketAddress("127.0.1." + number, port);
  }

  /** Whether the process runs. */
  boolean isAlive() {
    return process.isAlive();
  }

  /** Address of its metrics. */
  String operators() {
    return address(3);
  }

  /** Starts the relays and the first process. */
  void open() {
    storeLink.start();
    callerLink.start();
    start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
  }

  /** Starts a process; the one before has ended. */
  synchronized void start() {
    disturbed();
    starts++;
    try {
      Path settings = directory.resolve(name + ".yaml");
      Files.writeString(settings, settings());
      ProcessBuilder builder =
          new ProcessBuilder(
              ProcessHandle.current().info().command().orElse("java"),
              "-Xmx96m",
              "-Xss256k",
              "-XX:+UseSerialGC",
              "-XX:TieredStopAtLevel=1",
              "-cp",
              System.getProperty("java.class.path"),
              MAIN);
      builder.environment().put("POLLENROCK_NODE_FILE", settings.toString());
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      builder.redirectError(ProcessBuilder.Redirect.appendTo(log().toFile()));
      logSizeAtStart = Files.exists(log()) ? Files.size(log()) : 0;
      process = builder.start();
      startedNanos = System.nanoTime();
      stopping = false;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sends a signal to the process, by its id. */
  void signal(String signal) throws IOException, InterruptedException {
    disturbed();
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /**
   * Tells the process that its settings changed, once its program runs, which its first log line
   * shows. Before that, the signal ends the process.
   */
  void reload() throws IOException, InterruptedException {
    while (Files.size(log()) == logSizeAtStart
        && process.isAlive()
        && System.nanoTime() - startedNanos < RUNTIME_START_NANOS) {
      TimeUnit.MILLISECONDS.sleep(START_CHECK_MILLIS);
    }
    signal("HUP");
  }

  /** Kills the process at once. */
  void kill() throws InterruptedException {
    disturbed();
    stopping = true;
    process.destroyForcibly().waitFor();
  }

  /** Asks the process to stop; false if it outlives its grace period. */
  boolean terminate() throws InterruptedException {
    stopping = true;
    process.destroy();
    boolean ended = process.waitFor(GRACE_SECONDS + 1, TimeUnit.SECONDS);
    if (!ended) {
      kill();
    }
    disturbed();
    return ended;
  }

  /** Exit status of the process, which has ended. */
  synchronized int exitStatus() {
    return process.exitValue();
  }

  /** Whether the process ended although nobody asked it to. */
  synchronized boolean endedByItself() {
    return !stopping && !process.isAlive();
  }

  /** Remembers that what callers see of this gateway may be disturbed now. */
  void disturbed() {
    disturbedNanos = System.nanoTime();
  }

  /** Whether it was disturbed at or after a time, or is being stopped. */
  boolean disturbedSince(long nanos) {
    return stopping || disturbedNanos - nanos >= 0;
  }

  void close() throws InterruptedException {
    kill();
    storeLink.stop();
    callerLink.stop();
  }

  private Path log() {
    return directory.resolve(name + ".log");
  }

  private String address(int role) {
    return "127.0." + role + "." + number + ":" + port;
  }

  private String settings() {
    return String.join(
        "\n",
        "instance: " + name,
        "data-centre: near",
        "callers: " + address(1),
        "readiness: " + address(2),
        "operators: " + address(3),
        "peers: " + address(4),
        "store: " + storeLink.address(),
        "memory-mb: 256",
        "grace-s: " + GRACE_SECONDS,
        "lease-ms: 3000",
        "weights-ms: 6000",
        "contact-ms: 3000",
        "drain-ms: 2000",
        "retry-ratio: 0.2",
        "retry-slack: 60",
        "retry-window-s: 10",
        "");
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
