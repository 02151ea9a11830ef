package org.pollenrock.router;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.settings.ProcessSettings;
import org.pollenrock.settings.ProcessSignal;
import org.pollenrock.settings.ReadResult;
import org.pollenrock.settings.SettingsError;
import org.pollenrock.settings.SettingsReader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The router daemon. */
@Command(
    name = "pollenrockd",
    mixinStandardHelpOptions = true,
    version = "pollenrockd 0.1.0",
    description = "Routes language-model requests. SIGTERM drains; a second one aborts.")
public final class Pollenrockd implements Callable<Integer> {
  /** Exit status when the settings are unusable or an address cannot be bound. */
  static final int UNUSABLE = 2;

  private static final Logger LOG = LogManager.getLogger(Pollenrockd.class);

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Process settings in YAML.")
  private Path config;

  private final AtomicReference<CompletableFuture<Integer>> drain = new AtomicReference<>();

  /**
   * Runs the daemon.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new Pollenrockd()).execute(arguments));
  }

  @Override
  public Integer call() throws ReflectiveOperationException {
    String text;
    try {
      text = Files.readString(config);
    } catch (IOException e) {
      System.err.println(config + ": cannot be read");
      return UNUSABLE;
    }
    return switch (SettingsReader.readProcess(config.toString(), text)) {
      case ReadResult.Valid<ProcessSettings>(ProcessSettings settings) -> run(settings);
      case ReadResult.Invalid<ProcessSettings>(List<SettingsError> errors) -> {
        errors.forEach(System.err::println);
        yield UNUSABLE;
      }
    };
  }

  private int run(ProcessSettings settings) throws ReflectiveOperationException {
    Incarnation incarnation = new Incarnation(System.currentTimeMillis());
    int ioThreads = Math.max(2, Runtime.getRuntime().availableProcessors());
    CompletableFuture<Integer> stopped = new CompletableFuture<>();
    try {
      Router router = new Router(RouterConfig.of(settings, incarnation, ioThreads));
      router.start();
      ProcessSignal.handle("TERM", () -> terminate(router, stopped));
      LOG.info(
          "listening for callers on {} and operators on {}",
          router.callerAddress(),
          router.operatorAddress());
    } catch (UncheckedIOException e) {
      System.err.println("cannot start: " + e.getMessage());
      return UNUSABLE;
    }
    stopped.join();
    return 0;
  }

  private void terminate(Router router, CompletableFuture<Integer> stopped) {
    if (!drain.compareAndSet(null, stopped)) {
      router.abortDrain();
      return;
    }
    router.drain().thenAccept(stopped::complete);
  }
}
