package org.pollenrock.router;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.pollenrock.adapters.log.LogStreams;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.settings.ApiKeyHash;
import org.pollenrock.core.settings.SettingsChange;
import org.pollenrock.core.settings.SettingsCodec;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeDiff;
import org.pollenrock.settings.ProcessSettings;
import org.pollenrock.settings.SettingsReader;
import org.pollenrock.standin.engine.EngineSettings;
import org.pollenrock.standin.engine.EngineStandin;
import org.pollenrock.standin.list.InstanceListStandin;
import org.pollenrock.standin.list.ListedInstance;
import org.pollenrock.standin.log.LogStandin;
import org.pollenrock.standin.service.PlainServiceStandin;

/** Stand-ins and a router on loopback, with ports that the system chooses. */
final class TestCluster implements AutoCloseable {
  static final String KEY = "key-1";
  private static final Duration PATIENCE = Duration.ofSeconds(30);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<EngineStandin> engines = new ArrayList<>();
  private final List<PlainServiceStandin> ledgers = new ArrayList<>();
  private final InstanceListStandin list = new InstanceListStandin(group, Duration.ZERO);
  private final LogStandin log =
      new LogStandin(group, System::currentTimeMillis, Duration.ofHours(1), 1_000);
  private final List<ListedInstance> listed = new ArrayList<>();
  private final Duration hardStop;
  private final Router router;
  private final HttpClient client = HttpClient.newHttpClient();

  TestCluster(int engineCount, RouterTimes times) {
    this(engineCount, times, Duration.ofSeconds(10), Duration.ZERO);
  }

  /** Makes a cluster whose router stops within a time, and whose plain services are slow. */
  TestCluster(int engineCount, RouterTimes times, Duration hardStop, Duration callTime) {
    this.hardStop = hardStop;
    list.start();
    log.start();
    for (int i = 0; i < engineCount; i++) {
      EngineStandin engine =
          new EngineStandin(
              group,
              EngineSettings.of("engine-" + i, "model-a", "v1"),
              1,
              (model, version) -> CompletableFuture.completedFuture(true),
              execution -> {});
      engine.start();
      engines.add(engine);
      listed.add(instance("engine-" + i, "model-server", "", engine.address()));
    }
    for (int i = 0; i < 2; i++) {
      PlainServiceStandin ledger = new PlainServiceStandin(group, "ledger-" + i, callTime);
      ledger.start();
      ledgers.add(ledger);
      listed.add(instance("ledger-" + i, "plain-server", "ledger", ledger.address()));
    }
    list.showNow(listed);
    router = newRouter("router-1", "[]", times);
    publish(SettingsTree.EMPTY, tree());
    router.start();
    await(router::ready);
    await(() -> operator("/metrics").contains("pollenrock_claims_readable 1.0"));
  }

  private static ListedInstance instance(String id, String kind, String service, String address) {
    return new ListedInstance(id, kind, service, address, "dc-1", "live");
  }

  /** Appends a change as an operator would, made against the newest revision. */
  long publish(SettingsTree from, SettingsTree to) {
    long base = log.records(LogStreams.SETTINGS).size() - 1;
    SettingsChange change =
        new SettingsChange(new UUID(0, base + 1), "operator", base, TreeDiff.edits(from, to));
    return log.append(LogStreams.SETTINGS, SettingsCodec.encode(change));
  }

  LogStandin log() {
    return log;
  }

  /** Adds a started router to the instance list, so that the others open links to it. */
  void listRouter(String name, Router added) {
    String address = "127.0.0.1:" + added.peerAddress().getPort();
    listed.add(instance(name, "router", "", address));
    list.showNow(listed);
  }

  /** Makes a router that is not started; its owner stops it. */
  Router newRouter(String name, String seeds, RouterTimes times) {
    RouterConfig standard = RouterConfig.of(process(name, seeds), new Incarnation(1), 2);
    return new Router(
        new RouterConfig(standard.process(), new Incarnation(1), 2, times, standard.strategy()));
  }

  private ProcessSettings process(String name, String seeds) {
    return SettingsReader.readProcess(
            "process.yaml",
            """
            instance: %s
            data-centre: dc-1
            listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
            log: {address: "%s"}
            list: {address: "%s", poll-interval: 20ms}
            stop: {drain-delay: 0s, hard-stop-after: %dms}
            random-seed: 1
            seeds: %s
            """
                .formatted(name, log.address(), list.address(), hardStop.toMillis(), seeds))
        .orElseThrow();
  }

  static SettingsTree tree() {
    return tree("v1");
  }

  static SettingsTree tree(String version) {
    return SettingsReader.readTree(
            "tree.yaml",
            """
            root: {deadline: 60s}
            customers:
              customer-1:
                callers: {desk: {}, batch: {limits: {concurrent-requests: 1}}}
                api-keys: {"%s": desk, "%s": batch}
            models: {model-a: {version: %s}}
            services:
              ledger:
                path: /ledger
                backend: ledger
                rules: [{method: GET, path: "/**", idempotent: true}]
            """
                .formatted(ApiKeyHash.ofKey(KEY), ApiKeyHash.ofKey("key-batch"), version))
        .orElseThrow();
  }

  List<EngineStandin> engines() {
    return engines;
  }

  List<PlainServiceStandin> ledgers() {
    return ledgers;
  }

  Router router() {
    return router;
  }

  HttpClient client() {
    return client;
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + router.callerAddress().getPort() + path))
        .header("Authorization", "Bearer " + KEY)
        .timeout(PATIENCE);
  }

  HttpResponse<String> send(String method, String path, String body) throws Exception {
    HttpRequest request =
        request(path).method(method, HttpRequest.BodyPublishers.ofString(body)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Body of an operator's page. */
  String operator(String path) {
    int port = router.operatorAddress().getPort();
    HttpRequest get =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(PATIENCE)
            .build();
    return client.sendAsync(get, HttpResponse.BodyHandlers.ofString()).join().body();
  }

  static String chat(boolean stream, int tokens) {
    return "{\"model\":\"model-a\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[%s]}"
        .formatted(stream, tokens, "{\"role\":\"user\",\"content\":\"hello\"}");
  }

  /** Waits for a condition without assuming how long it takes. */
  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new IllegalStateException("the condition did not become true");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    client.close();
    router.stop();
    engines.forEach(EngineStandin::stop);
    ledgers.forEach(PlainServiceStandin::stop);
    list.stop();
    log.stop();
    group.shutdownGracefully();
  }
}
