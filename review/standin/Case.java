import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A case of the review: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
abstract class Case {
  /** Time in which a gateway starts and reads configuration and servers. */
  static final long START_MILLIS = 20_000;

  private static final long TIMEOUT_MILLIS = 115_000;

  Record record;
  Store store;
  Path directory;

  /** Whether the disruption happens. */
  boolean trouble;

  /** Returns whether the rule was broken. */
  abstract boolean isBroken() throws IOException, InterruptedException;

  static void run(Case example, String[] arguments) throws IOException {
    example.directory = Files.createTempDirectory("review");
    example.record = new Record(Path.of(arguments[0], "record.txt"));
    example.trouble = !"0".equals(System.getenv("TROUBLE"));
    Thread watchdog = Threads.start(() -> exitAfterTimeout(example));
    int status;
    try {
      example.store = new Store();
      boolean broken = example.isBroken();
      example.record.line(broken ? "the rule was broken" : "the rule held");
      status = broken ? 1 : 0;
    } catch (IOException | InterruptedException | RuntimeException e) {
      example.record.line("couldn't run: %s", e);
      status = 2;
    }
    watchdog.interrupt();
    deleteDirectory(example.directory);
    // The shutdown hooks end all processes that were started.
    System.exit(status);
  }

  private static void deleteDirectory(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }

  private static void exitAfterTimeout(Case example) throws InterruptedException {
    Thread.sleep(TIMEOUT_MILLIS);
    example.record.line("couldn't run: not done in time");
    System.exit(2);
  }

  /** Starts gateways and waits until all are ready. */
  List<Gateway> startGateways(int count) throws IOException {
    List<Gateway> gateways = Gateway.startAll(count, directory, store);
    awaitReady(gateways);
    return gateways;
  }

  static void awaitReady(List<Gateway> gateways) throws IOException {
    for (Gateway gateway : gateways) {
      if (!gateway.awaitReady(START_MILLIS)) {
        throw new IOException("a gateway did not become ready");
      }
    }
  }
}
