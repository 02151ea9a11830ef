package org.pollenrock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/**
 * Model engine with the OpenAI-compatible API, load reports, cache events, orders and faults.
 *
 * <p>All state is confined to one event loop.
 */
public final class EngineStandin {
  private final EngineSettings settings;
  private final EventLoop loop;
  private final StandinHttpServer server;
  private final EngineBatch batch;
  private final EngineWeights weights;
  private final EngineFaults faults = new EngineFaults();
  private final CacheEventFeed events;
  private final EngineReports reports;
  private final ObjectMapper json = new ObjectMapper();
  private long incarnation;
  private boolean down;
  private volatile long lastArrivalNanos = System.nanoTime();

  /**
   * Makes an engine; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param settings capacity and habits
   * @param incarnation first incarnation
   * @param loader fetches weights
   * @param observer told of every request that begins to run, on the engine's event loop
   */
  public EngineStandin(
      EventLoopGroup group,
      EngineSettings settings,
      long incarnation,
      WeightLoader loader,
      Consumer<EngineExecution> observer) {
    this.settings = settings;
    this.loop = group.next();
    this.incarnation = incarnation;
    this.events = new CacheEventFeed(settings.eventLag().toNanos());
    this.reports = new EngineReports(settings.reportLag().toNanos());
    this.weights = new EngineWeights(settings, loader);
    this.batch = new EngineBatch(settings, loop, events, faults, observer);
    this.server =
        new StandinHttpServer(
            group, (request, exchange) -> loop.execute(() -> handle(request, exchange)));
  }

  /** Begins to listen and to publish reports. */
  public void start() {
    server.start();
    loop.execute(this::publishReport);
  }

  /** Stops listening and closes every connection. */
  public void stop() {
    loop.execute(() -> down = true);
    server.stop();
  }

  /**
   * Address of the engine.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  /**
   * Settings of the engine.
   *
   * @return the settings it was made with
   */
  public EngineSettings settings() {
    return settings;
  }

  /**
   * Crashes: connections close, the cache is lost, and after a while a new incarnation answers.
   *
   * @param downtime time until it answers again
   */
  public void crash(Duration downtime) {
    loop.submit(this::die).syncUninterruptibly();
    server.stop();
    loop.schedule(this::revive, downtime.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Drops the traffic of the connections that are open now. */
  public void silenceConnections() {
    server.silenceConnections();
  }

  /**
   * Breaks the next streams after a few tokens.
   *
   * @param count number of streams
   */
  public void cutStreams(int count) {
    loop.execute(() -> faults.cutStreams(count));
  }

  /**
   * Breaks the next streams after their last token and before their end marker.
   *
   * @param count number of streams
   */
  public void cutEnds(int count) {
    loop.execute(() -> faults.cutEnds(count));
  }

  /**
   * Labels the next answers with the attempt of another request.
   *
   * @param count number of answers
   */
  public void answerForOthers(int count) {
    loop.execute(() -> faults.answerForOthers(count));
  }

  /**
   * Loses the next cache events.
   *
   * @param count number of events
   */
  public void loseEvents(int count) {
    loop.execute(() -> events.lose(count));
  }

  /**
   * Makes every step take longer.
   *
   * @param factor multiple of the usual time
   */
  public void slowdown(double factor) {
    loop.execute(() -> faults.slowdown(factor));
  }

  /**
   * Begins or ends refusing new requests because the server is leaving.
   *
   * @param on true to begin
   */
  public void leaving(boolean on) {
    loop.execute(() -> faults.leaving(on));
  }

  /**
   * Stops or resumes publishing load reports.
   *
   * @param on true to stop
   */
  public void freezeReports(boolean on) {
    loop.execute(() -> faults.freezeReports(on));
  }

  /**
   * Number of leading keys that are cached, or will be when the requests ahead have been prefilled.
   *
   * @param keys block keys of a prompt, as hex text
   * @return blocks that would be a hit
   */
  public int expectedLeading(List<String> keys) {
    return batch.expectedLeading(keys);
  }

  /**
   * Tells whether one block is cached now.
   *
   * @param key block key, as hex text
   * @return true when it is cached
   */
  public boolean holds(String key) {
    return batch.holds(key);
  }

  /**
   * Prefill tokens that wait or run now.
   *
   * @return tokens
   */
  public int queueTokens() {
    return batch.queueTokens();
  }

  /**
   * Weights version that is served now.
   *
   * @return the version
   */
  public String version() {
    return weights.version();
  }

  /**
   * When the last model request arrived, refused ones included.
   *
   * @return monotonic time; that of the engine's making before the first
   */
  public long lastArrivalNanos() {
    return lastArrivalNanos;
  }

  /**
   * Incarnation that answers now.
   *
   * @return the number
   */
  public long incarnation() {
    return loop.submit(() -> incarnation).syncUninterruptibly().getNow();
  }

  /**
   * Hits on blocks that another cache salt had stored.
   *
   * @return the count since the start; anything but 0 is a fault of the client
   */
  public long foreignHits() {
    return loop.submit(batch::foreignHits).syncUninterruptibly().getNow();
  }

  private void die() {
    down = true;
    batch.dropAll();
    batch.forgetCache();
    events.reset();
    reports.reset();
  }

  private void revive() {
    incarnation++;
    down = false;
    weights.reset();
    Thread.ofVirtual().start(server::start);
  }

  private void publishReport() {
    if (!down && !faults.reportsFrozen()) {
      reports.add(report(), System.nanoTime());
    }
    loop.schedule(
        this::publishReport, settings.reportLag().toMillis() / 2 + 1, TimeUnit.MILLISECONDS);
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    if (down) {
      exchange.abort();
      return;
    }
    switch (request.path()) {
      case "/v1/chat/completions", "/v1/completions" -> complete(request, exchange);
      case "/v1/models" ->
          exchange.respondJson(
              200, "{\"object\":\"list\",\"data\":[{\"id\":\"" + settings.model() + "\"}]}");
      case "/server/report" -> respondReport(exchange);
      case "/server/cache-events" -> respondEvents(request, exchange);
      case "/server/orders" -> acceptOrder(request, exchange);
      case "/server/cancel" -> cancel(request, exchange);
      case "/server/kv/export" -> exchange.respondJson(200, keysJson());
      case "/server/kv/import" -> importKeys(request, exchange);
      default -> exchange.respondJson(404, "{}");
    }
  }

  private void complete(StandinRequest request, StandinExchange exchange) {
    lastArrivalNanos = System.nanoTime();
    Optional<EnginePrompt> parsed = EnginePrompt.parse(request);
    if (parsed.isEmpty() || !parsed.get().model().equals(settings.model())) {
      exchange.respondJson(400, "{\"error\":{\"message\":\"bad request\"}}");
      return;
    }
    if (faults.leaving()) {
      refuse(503, exchange, Map.of("X-Server-State", "leaving"));
      return;
    }
    if (weights.loading()) {
      refuse(503, exchange, Map.of("X-Server-State", "loading"));
      return;
    }
    if (settings.checksIdentity() && !identityMatches(request)) {
      refuse(409, exchange, Map.of());
      return;
    }
    String lastEvent = request.header("Last-Event-ID");
    int firstToken = lastEvent.isEmpty() ? 0 : Integer.parseInt(lastEvent) + 1;
    EngineSequence sequence =
        new EngineSequence(
            parsed.get(),
            request.header("X-Attempt-Id"),
            priority(request.header("X-Priority")),
            batch.nextArrival(),
            firstToken,
            exchange);
    batch.add(sequence, incarnation, weights.version());
  }

  private boolean identityMatches(StandinRequest request) {
    String expectedIncarnation = request.header("X-Expected-Incarnation");
    String expectedVersion = request.header("X-Expected-Weights");
    boolean sameIncarnation =
        expectedIncarnation.isEmpty() || expectedIncarnation.equals(Long.toString(incarnation));
    boolean sameVersion = expectedVersion.isEmpty() || expectedVersion.equals(weights.version());
    return sameIncarnation && sameVersion;
  }

  private void refuse(int status, StandinExchange exchange, Map<String, String> extra) {
    Map<String, String> headers = new HashMap<>(extra);
    headers.put("X-Incarnation", Long.toString(incarnation));
    headers.put("X-Weights-Version", weights.version());
    exchange.respond(status, headers, "application/json", new byte[] {'{', '}'});
  }

  private static int priority(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "urgent" -> 0;
      case "batch" -> 2;
      default -> 1;
    };
  }

  private void respondReport(StandinExchange exchange) {
    String visible = reports.visible(System.nanoTime());
    exchange.respondJson(200, visible.isEmpty() ? report() : visible);
  }

  private String report() {
    var report = json.createObjectNode();
    report.put("incarnation", incarnation);
    report.put("state", state());
    report
        .putArray("models")
        .addObject()
        .put("model", settings.model())
        .put("version", weights.version())
        .putArray("adapters");
    report.put("queue_tokens", batch.queueTokens());
    report.put("running", batch.running());
    report.put("slots", settings.slots());
    report.put("prefill_tokens_per_second", settings.prefillTokensPerSecond());
    report.put("decode_tokens_per_second", 1e9 / settings.decodeStep().toNanos());
    report.put("cache_blocks", batch.cacheSize());
    report.put("cache_capacity_blocks", settings.cacheBlocks());
    report.put("stored_blocks_per_second", batch.storedPerSecond(System.nanoTime()));
    report.put("time_ms", System.currentTimeMillis());
    return report.toString();
  }

  private String state() {
    if (faults.leaving()) {
      return "leaving";
    }
    return weights.loading() ? "loading" : "live";
  }

  private void respondEvents(StandinRequest request, StandinExchange exchange) {
    long after = request.number("after", 0);
    int most = (int) request.number("max", 1000);
    exchange.respondJson(200, events.page(after, most, incarnation, System.nanoTime()));
  }

  private void acceptOrder(StandinRequest request, StandinExchange exchange) {
    JsonNode order;
    try {
      order = json.readTree(request.body());
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
      return;
    }
    long fence = order.path("fence").asLong();
    if (!weights.acceptFence(fence)) {
      exchange.respondJson(409, "{}");
      return;
    }
    exchange.respondJson(202, "{}");
    String version = order.path("version").asText();
    if (version.equals(weights.version()) && !weights.loading()) {
      return;
    }
    batch.dropAll();
    batch.forgetCache();
    weights.load(version, loop);
  }

  private void cancel(StandinRequest request, StandinExchange exchange) {
    try {
      batch.cancel(json.readTree(request.body()).path("attempt_id").asText());
      exchange.respondJson(200, "{}");
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private String keysJson() {
    var answer = json.createObjectNode();
    answer.put("version", weights.version());
    var keys = answer.putArray("keys");
    batch.cachedKeys().forEach(keys::add);
    return answer.toString();
  }

  private void importKeys(StandinRequest request, StandinExchange exchange) {
    try {
      JsonNode body = json.readTree(request.body());
      if (!body.path("version").asText().equals(weights.version())) {
        exchange.respondJson(409, "{}");
        return;
      }
      batch.importKeys(body.path("keys"), body.path("cache_salt").asText());
      exchange.respondJson(200, "{}");
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
    }
  }
}
