package org.pollenrock.standin.engine;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/**
 * Engine without queue and cache: the first token comes at once, the others at a fixed interval.
 *
 * <p>Meant for measurements of the router itself, in which the engine must not be the bottleneck.
 */
public final class PacedEngineStandin {
  private static final long INCARNATION = 1;
  private static final int SLOTS = 100_000;
  private static final int TOKENS_PER_SECOND = 100_000_000;
  private static final int BYTES_PER_TOKEN = 4;

  private final EventLoopGroup group;
  private final String model;
  private final String version;
  private final Duration interval;
  private final StandinHttpServer server;

  /**
   * Makes an engine; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param model the model that it serves
   * @param version its weights version
   * @param interval time between two tokens of a stream
   */
  public PacedEngineStandin(EventLoopGroup group, String model, String version, Duration interval) {
    this.group = group;
    this.model = model;
    this.version = version;
    this.interval = interval;
    this.server = new StandinHttpServer(group, this::handle);
  }

  /** Begins to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes every connection. */
  public void stop() {
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

  private void handle(StandinRequest request, StandinExchange exchange) {
    switch (request.path()) {
      case "/v1/chat/completions", "/v1/completions" -> complete(request, exchange);
      case "/server/report" -> exchange.respondJson(200, report());
      case "/server/cache-events" ->
          exchange.respondJson(
              200, "{\"incarnation\":" + INCARNATION + ",\"first\":1,\"last\":0,\"events\":[]}");
      case "/server/cancel" -> exchange.respondJson(200, "{}");
      case "/server/orders" -> exchange.respondJson(202, "{}");
      default -> exchange.respondJson(404, "{}");
    }
  }

  private String report() {
    return """
    {"incarnation":%d,"state":"live","models":[{"model":"%s","version":"%s","adapters":[]}],
    "queue_tokens":0,"running":0,"slots":%d,"prefill_tokens_per_second":%d,
    "decode_tokens_per_second":%d,"cache_blocks":0,"cache_capacity_blocks":100,
    "stored_blocks_per_second":0,"time_ms":%d}\
    """
        .formatted(
            INCARNATION,
            model,
            version,
            SLOTS,
            TOKENS_PER_SECOND,
            TOKENS_PER_SECOND,
            System.currentTimeMillis());
  }

  private void complete(StandinRequest request, StandinExchange exchange) {
    Optional<EnginePrompt> parsed = EnginePrompt.parse(request);
    if (parsed.isEmpty() || !parsed.get().model().equals(model)) {
      exchange.respondJson(400, "{}");
      return;
    }
    EnginePrompt prompt = parsed.get();
    String attempt = request.header("X-Attempt-Id");
    EngineAnswer answer = new EngineAnswer(prompt, attempt, exchange);
    answer.begin(headers(prompt, attempt));
    PacedStream stream = new PacedStream(prompt, answer, exchange, group.next());
    if (prompt.stream()) {
      stream.emit();
      return;
    }
    stream.emitAll();
  }

  private Map<String, String> headers(EnginePrompt prompt, String attempt) {
    int tokens = Math.max(1, prompt.text().length() / BYTES_PER_TOKEN);
    return Map.of(
        "X-Attempt-Id",
        attempt,
        "X-Incarnation",
        Long.toString(INCARNATION),
        "X-Weights-Version",
        version,
        "X-Cached-Tokens",
        "0",
        "X-Prompt-Tokens",
        Integer.toString(tokens),
        "X-Queue-Tokens",
        "0");
  }

  /** One answer; its first token is written by the connection's event loop, the rest by another. */
  private final class PacedStream {
    private final EnginePrompt prompt;
    private final EngineAnswer answer;
    private final StandinExchange exchange;
    private final EventLoop loop;
    private final GeneratedText text;
    private int index;

    private PacedStream(
        EnginePrompt prompt, EngineAnswer answer, StandinExchange exchange, EventLoop loop) {
      this.prompt = prompt;
      this.answer = answer;
      this.exchange = exchange;
      this.loop = loop;
      this.text = new GeneratedText(prompt.text(), version);
    }

    private void emit() {
      if (!exchange.open()) {
        return;
      }
      if (next()) {
        answer.end();
        return;
      }
      loop.schedule(this::emit, interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void emitAll() {
      while (!next()) {
        continue;
      }
      answer.end();
    }

    private boolean next() {
      boolean last = index + 1 >= prompt.maxTokens();
      answer.token(index, text.next(), last);
      index++;
      return last;
    }
  }
}
