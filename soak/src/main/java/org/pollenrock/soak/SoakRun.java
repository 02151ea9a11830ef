package org.pollenrock.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.bench.history.RevisionSample;
import org.pollenrock.bench.history.Violation;
import org.pollenrock.standin.platform.KeyedStoreStandin;

/** Plays one seed: processes, callers, faults in series and overlapping, and the checks. */
final class SoakRun {
  private static final int CALLERS_PER_GATEWAY = 4;
  private static final int PLAIN_SERVERS = 3;
  private static final int ENGINES = 3;

  /** Faults that may overlap. */
  private static final int FAULT_TASKS = 2;

  /** Longest time for all gateways to serve after their start, or after the last fault. */
  private static final long RECOVERY_SECONDS = 20;

  /** Right answers in a row that show that a gateway has recovered. */
  private static final int RIGHT_IN_A_ROW = 8;

  private static final long CHECK_MILLIS = 500;
  private static final Pattern VERSION =
      Pattern.compile("^pollenrock_config_version (\\S+)", Pattern.MULTILINE);

  private final SoakSettings settings;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final KeyedStoreStandin store = new KeyedStoreStandin(group);
  private final SoakRecord record = new SoakRecord();
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private final List<String> story = new ArrayList<>();
  private final HttpClient operators = SoakCaller.newClient();
  private final long startNanos = System.nanoTime();
  private long version = 1;
  private long weights = 1;

  SoakRun(SoakSettings settings, Path directory) {
    this.settings = settings;
    for (int i = 1; i <= settings.gateways(); i++) {
      gateways.add(new GatewayProcess(i, directory, group, store));
    }
    for (int i = 1; i <= PLAIN_SERVERS; i++) {
      servers.add(new SoakServer("plain-" + i, SoakPlan.PLAIN, group, store, record));
    }
    for (int i = 1; i <= ENGINES; i++) {
      servers.add(new SoakServer("engine-" + i, SoakPlan.ENGINES, group, store, record));
    }
  }

  /**
   * Plays the run.
   *
   * @return what broke a promise
   */
  SoakReport play() throws InterruptedException, IOException {
    store.start();
    SoakPlan.configure(store, version);
    servers.forEach(SoakServer::start);
    gateways.forEach(GatewayProcess::open);
    try {
      awaitService("start");
      SplittableRandom random = new SplittableRandom(settings.seed());
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.seconds());
      List<Thread> threads = new ArrayList<>();
      for (GatewayProcess gateway : gateways) {
        for (int i = 0; i < CALLERS_PER_GATEWAY; i++) {
          SoakCaller caller =
              new SoakCaller(gateway.name() + "c" + i, gateway, record, random.split());
          threads.add(Thread.ofPlatform().daemon().start(() -> untilEnd(caller, end)));
        }
      }
      for (int i = 0; i < FAULT_TASKS; i++) {
        SplittableRandom own = random.split();
        threads.add(Thread.ofPlatform().daemon().start(() -> faults(own, end)));
      }
      if (settings.returns()) {
        StoreReturns storeReturns =
            new StoreReturns(store, servers, this::changeAll, this::writeAgain, this::tell);
        SplittableRandom own = random.split();
        threads.add(Thread.ofPlatform().daemon().start(() -> storeReturns.play(own, end)));
      }
      if (settings.spoiledHeads()) {
        SpoiledHeads spoiledHeads = new SpoiledHeads(servers, this::tell);
        SplittableRandom own = random.split();
        threads.add(Thread.ofPlatform().daemon().start(() -> spoiledHeads.play(own, end)));
      }
      while (System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
        look();
      }
      for (Thread thread : threads) {
        thread.join();
      }
      awaitService("last fault");
      return report();
    } finally {
      for (GatewayProcess gateway : gateways) {
        gateway.close();
      }
      servers.forEach(SoakServer::stop);
      store.stop();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private SoakReport report() {
    List<Violation> violations = record.check();
    synchronized (story) {
      return new SoakReport(
          settings.seed(),
          violations,
          record.count(Outcome.End.COMPLETED),
          record.count(Outcome.End.REFUSED_NOT_RUN),
          record.count(Outcome.End.UNKNOWN),
          List.copyOf(story));
    }
  }

  private void untilEnd(SoakCaller caller, long end) {
    try {
      caller.runUntil(end);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Samples configurations in force and looks for processes that are gone. */
  private void look() throws InterruptedException {
    for (GatewayProcess gateway : gateways) {
      if (gateway.endedByItself()) {
        record.violation(
            "no-exit", gateway.name() + " ended by itself with status " + gateway.exitStatus());
        gateway.start();
      }
      String incarnation = gateway.name();
      long since = System.nanoTime();
      try {
        HttpResponse<String> page =
            operators.send(
                HttpRequest.newBuilder(URI.create("http://" + gateway.operators() + "/metrics"))
                    .timeout(Duration.ofMillis(CHECK_MILLIS))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
        Matcher found = VERSION.matcher(page.body());
        if (found.find() && !gateway.disturbedSince(since)) {
          long inForce = (long) Double.parseDouble(found.group(1));
          record.inForce(new RevisionSample(incarnation, inForce, since - startNanos));
        }
      } catch (IOException e) {
        tell("no metrics of " + incarnation + ": " + e);
      }
    }
  }

  /** Waits until every gateway serves every kind of request. */
  private void awaitService(String after) throws InterruptedException {
    for (GatewayProcess gateway : gateways) {
      SoakCaller caller =
          new SoakCaller(
              gateway.name() + after.charAt(0),
              gateway,
              record,
              new SplittableRandom(settings.seed()));
      long give = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
      int right = 0;
      while (right < RIGHT_IN_A_ROW && System.nanoTime() - give < 0) {
        SoakCaller.Call call = SoakCaller.Call.values()[right % SoakCaller.Call.values().length];
        right = caller.ask(call) ? right + 1 : 0;
        TimeUnit.MILLISECONDS.sleep(right > 0 ? 0 : CHECK_MILLIS / 5);
      }
      if (right < RIGHT_IN_A_ROW) {
        record.violation("recovery", gateway.name() + " does not serve after the " + after);
      }
    }
  }

  private void faults(SplittableRandom random, long end) {
    try {
      while (System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(random.nextLong(100, 900));
        FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
        GatewayProcess gateway = gateways.get(random.nextInt(gateways.size()));
        SoakServer server = servers.get(random.nextInt(servers.size()));
        long millis = random.nextLong(200, 2_500);
        tell(kind + " " + gateway.name() + " or " + server.link().address() + " " + millis + " ms");
        play(kind, gateway, server, millis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      record.violation("soak", "fault could not be played: " + e);
    }
  }

  private void play(FaultKind kind, GatewayProcess gateway, SoakServer server, long millis)
      throws InterruptedException, IOException {
    switch (kind) {
      case PAUSE_GATEWAY, KILL_GATEWAY, STOP_GATEWAY, RELOAD_GATEWAY ->
          playOnGateway(kind, gateway, millis);
      case STORE_DOWN -> during(millis, store::down);
      case STORE_LOSES_ANSWERS -> store.loseAnswers(3);
      case STORE_FORGETS -> {
        store.compact(SoakServer.TOPIC);
        store.compact("keyed.op");
      }
      case STORE_LINK_CUT -> during(millis, on -> gateway.storeLink().cut(on));
      case SERVER_CRASH, SERVER_LEAVES -> replace(server, kind, millis);
      case SERVER_LOSES_ANSWERS -> during(millis, server::losesAnswers);
      case SERVER_STRAY_ANSWERS -> during(millis, server::strayAnswers);
      case SERVER_LINK_CUT -> during(millis, on -> server.link().cut(on));
      case SERVER_LINK_ONE_WAY -> during(millis, on -> server.link().cutAnswers(on));
      case SERVER_LINK_SILENT -> server.link().silenceConnections();
      case SERVER_LINK_RESET -> server.link().reset();
      case SERVER_LINK_SLOW ->
          during(millis, on -> server.link().delay(Duration.ofMillis(on ? 80 : 0)));
      case CALLER_LINK_RESET -> {
        gateway.callerLink().reset();
        gateway.disturbed();
      }
      case CALLER_LINK_SILENT -> {
        gateway.disturbed();
        gateway.callerLink().silenceConnections();
        TimeUnit.MILLISECONDS.sleep(millis);
        // Requests that are sent on them later would never arrive anywhere.
        gateway.callerLink().reset();
        gateway.disturbed();
      }
      case NEW_CONFIGURATION -> configure();
      case NEW_WEIGHTS -> nameWeights();
      default -> throw new IllegalStateException("fault " + kind);
    }
  }

  private void playOnGateway(FaultKind kind, GatewayProcess gateway, long millis)
      throws InterruptedException, IOException {
    synchronized (gateway) {
      switch (kind) {
        case PAUSE_GATEWAY -> {
          gateway.signal("STOP");
          TimeUnit.MILLISECONDS.sleep(millis);
          gateway.signal("CONT");
        }
        case KILL_GATEWAY -> {
          gateway.kill();
          TimeUnit.MILLISECONDS.sleep(millis / 4);
          gateway.start();
        }
        case STOP_GATEWAY -> {
          StopCallers callers = new StopCallers(gateway, record, settings.seed());
          callers.start();
          TimeUnit.MILLISECONDS.sleep(millis / 4);
          if (!gateway.terminate()) {
            record.violation("stop", gateway.name() + " outlived its grace period");
          }
          callers.join();
          gateway.start();
        }
        default -> gateway.reload();
      }
    }
  }

  private void replace(SoakServer server, FaultKind kind, long millis) throws InterruptedException {
    synchronized (server) {
      if (kind == FaultKind.SERVER_LEAVES) {
        server.drain();
        TimeUnit.MILLISECONDS.sleep(3_000);
      }
      server.crash();
      TimeUnit.MILLISECONDS.sleep(millis);
      server.unlist();
      server.begin();
    }
  }

  private synchronized void configure() {
    SoakPlan.configure(store, ++version);
  }

  private synchronized void nameWeights() {
    SoakPlan.nameWeights(store, ++weights);
  }

  private void changeAll() {
    configure();
    nameWeights();
  }

  private synchronized void writeAgain() {
    SoakPlan.configure(store, version);
    if (weights > 1) {
      SoakPlan.nameWeights(store, weights);
    }
  }

  /** Switches a fault on and off again. */
  private static void during(long millis, Consumer<Boolean> fault) throws InterruptedException {
    fault.accept(true);
    TimeUnit.MILLISECONDS.sleep(millis);
    fault.accept(false);
  }

  private void tell(String what) {
    synchronized (story) {
      story.add("%.3f %s".formatted((System.nanoTime() - startNanos) / 1e9, what));
    }
  }
}
