package org.pollenrock.soak;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;
import org.pollenrock.standin.net.LinkRelay;
import org.pollenrock.standin.platform.KeyedStoreStandin;
import org.pollenrock.standin.service.Execution;

/**
 * Backend server behind a relay: plain calls and streams of numbered events, with weights that can
 * be ordered. Every start is a new incarnation under a new identity.
 */
final class SoakServer {
  /** Topic in which servers register. */
  static final String TOPIC = "keyed.servers";

  /** Model of the engines. */
  static final String MODEL = "m";

  /** Events of a stream. */
  static final int EVENTS = 12;

  private static final long EVENT_MILLIS = 15;
  private static final long RUN_MILLIS = 20;

  /** Time of a run that outlasts the grace period of a gateway. */
  static final long LONG_RUN_MILLIS = 1_000 * GatewayProcess.GRACE_SECONDS + 1_000;

  private static final long LOAD_MILLIS = 200;

  private final String name;
  private final String service;
  private final EventLoopGroup group;
  private final KeyedStoreStandin store;
  private final SoakRecord record;
  private final StandinHttpServer server;
  private final LinkRelay link;
  private int incarnation;
  private volatile String id;

  /** State in the entry of the incarnation; empty if it has none. */
  private volatile String entryState = "";

  private final Set<String> endedIds = ConcurrentHashMap.newKeySet();
  private volatile boolean crashed;
  private volatile long version = 1;
  private volatile long orders;
  private volatile boolean loading;
  private volatile boolean losesAnswers;
  private volatile boolean strayAnswers;
  private volatile boolean spoilsHeads;

  SoakServer(
      String name,
      String service,
      EventLoopGroup group,
      KeyedStoreStandin store,
      SoakRecord record) {
    this.name = name;
    this.service = service;
    this.group = group;
    this.store = store;
    this.record = record;
    this.server = new StandinHttpServer(group, this::handle);
    this.link = new LinkRelay(group, server::address, Duration.ZERO);
  }

  String name() {
    return name;
  }

  LinkRelay link() {
    return link;
  }

  /** Starts the first incarnation. */
  void start() {
    link.start();
    begin();
  }

  /** Starts a new incarnation and registers it. */
  void begin() {
    incarnation++;
    id = name + "-" + incarnation;
    orders = 0;
    loading = false;
    crashed = false;
    server.start();
    register("ready");
  }

  /** Ends the incarnation without a word; its entry stays until {@link #unlist}. */
  void crash() {
    crashed = true;
    server.stop();
  }

  /** Says that the incarnation drains. */
  void drain() {
    register("draining");
  }

  /** Removes the entry of the incarnation. */
  void unlist() {
    entryState = "";
    endedIds.add(id);
    store.put(TOPIC, id, "");
  }

  /** Writes the entry of the incarnation again, as a server does after its store has lost it. */
  void writeAgain() {
    String state = entryState;
    if (!state.isEmpty() && !crashed) {
      register(state);
    }
  }

  /** Removes entries of earlier incarnations that the store has got back. */
  void unlistEnded() {
    endedIds.stream()
        .filter(ended -> store.newest(TOPIC, ended) != null)
        .forEach(ended -> store.put(TOPIC, ended, ""));
  }

  void stop() {
    server.stop();
    link.stop();
  }

  void losesAnswers(boolean loses) {
    losesAnswers = loses;
  }

  void strayAnswers(boolean stray) {
    strayAnswers = stray;
  }

  void spoilsHeads(boolean spoils) {
    spoilsHeads = spoils;
  }

  boolean engine() {
    return service.equals(SoakPlan.ENGINES);
  }

  private void register(String state) {
    entryState = state;
    String models =
        engine()
            ? ",\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}]"
                .formatted(MODEL, version)
            : "";
    store.put(
        TOPIC,
        id,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"near\",\"version\":\"v1\",\"slots\":16,"
                .formatted(service, link.address())
            + "\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d,\"born\":%d%s}"
                .formatted(state, System.nanoTime(), 1_000_000L + incarnation, models));
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    String expected = request.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      refuse(exchange, request, 421, Map.of("Instance-Id", id));
      return;
    }
    switch (request.path()) {
      case "/health" -> exchange.respond(200, Map.of("Instance-Id", id), "text/plain", new byte[0]);
      case "/-/report" -> exchange.respondJson(200, report());
      case "/-/order" -> order(exchange);
      default -> run(request, exchange);
    }
  }

  private String report() {
    return "{\"busy\":%s,\"seq\":%d,\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}]}"
        .formatted(loading, orders, MODEL, version);
  }

  private void order(StandinExchange exchange) {
    orders++;
    loading = true;
    exchange.respondJson(202, "{}");
    group.schedule(
        () -> {
          version = SoakPlan.namedVersion(store);
          loading = false;
        },
        LOAD_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void run(StandinRequest request, StandinExchange exchange) {
    String attempt = request.header("Attempt-Id");
    if (engine() && loading) {
      refuse(exchange, request, 503, Map.of());
      return;
    }
    String wanted = request.header("Expect-Version");
    if (engine() && !wanted.isEmpty() && Long.parseLong(wanted) != version) {
      refuse(
          exchange,
          request,
          421,
          Map.of("Instance-Id", id, "Weight-Versions", Long.toString(version)));
      return;
    }
    boolean once = !request.path().startsWith("/plain/") && !request.path().startsWith("/stream/");
    record.ran(
        new Execution(
            id, request.method(), request.path(), once ? attempt : "", attempt, request.text()));
    if (strayAnswers) {
      answer(exchange, "other", "ran other");
    }
    long runMillis = request.path().startsWith("/long/") ? LONG_RUN_MILLIS : RUN_MILLIS;
    group.schedule(() -> finish(request, exchange, attempt), runMillis, TimeUnit.MILLISECONDS);
  }

  private void finish(StandinRequest request, StandinExchange exchange, String attempt) {
    if (losesAnswers) {
      exchange.abort();
      return;
    }
    if (spoilsHeads) {
      answerAfterBeginOfAnother(exchange, attempt);
      return;
    }
    if (!engine()) {
      answer(exchange, attempt, SoakPlan.plainBody(attempt));
      return;
    }
    exchange.beginStream(
        200,
        Map.of(
            "Attempt-Id",
            attempt,
            "Response-Stamp",
            id,
            "Weight-Versions",
            Long.toString(version),
            "Content-Type",
            "text/event-stream"));
    String last = request.header("Last-Event-Id");
    stream(exchange, attempt, last.isEmpty() ? 1 : Integer.parseInt(last) + 1);
  }

  /**
   * Writes the begin of a success and then a failure, or the begin of a refusal and then a success.
   * The place of the cut and the kind follow from the attempt.
   */
  private void answerAfterBeginOfAnother(StandinExchange exchange, String attempt) {
    int choice = attempt.hashCode() >>> 1;
    boolean failure = choice % 2 == 0;
    String begin =
        failure
            ? "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec\r\nContent-Type: text/plain\r\n"
            : "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Type: text/plain\r\n";
    exchange.bytes(begin.substring(0, choice / 2 % (begin.length() + 1)));
    if (failure) {
      exchange.respond(
          500,
          Map.of("Attempt-Id", attempt, "Response-Stamp", id),
          "text/plain",
          "failed".getBytes(StandardCharsets.UTF_8));
    } else {
      answer(exchange, attempt, SoakPlan.plainBody(attempt));
    }
  }

  private void stream(StandinExchange exchange, String attempt, int event) {
    if (!exchange.open()) {
      return;
    }
    if (event > EVENTS) {
      exchange.endStream();
      return;
    }
    exchange.chunk(SoakPlan.event(attempt, event));
    group.schedule(() -> stream(exchange, attempt, event + 1), EVENT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void answer(StandinExchange exchange, String attempt, String body) {
    exchange.respond(
        200,
        Map.of("Attempt-Id", attempt, "Response-Stamp", id, "Server-Load", "1,0,16"),
        "text/plain",
        body.getBytes(StandardCharsets.UTF_8));
  }

  private static void refuse(
      StandinExchange exchange, StandinRequest request, int status, Map<String, String> extra) {
    Map<String, String> headers = new HashMap<>(extra);
    headers.put("Attempt-Id", request.header("Attempt-Id"));
    headers.put("Not-Executed", "1");
    exchange.respond(status, headers, "text/plain", new byte[0]);
  }
}
