package org.pollenrock.adapters.engine;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import org.asynchttpclient.RequestBuilder;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.HttpCall;
import org.pollenrock.adapters.http.HttpOutcome;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.http.JsonCalls;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.model.BlockKey;

/** {@link EngineClient} over HTTP. */
public final class HttpEngineClient implements EngineClient {
  private static final int MAX_CONTROL_BYTES = 4 * 1024 * 1024;

  /** Reports of many faulty engines must leave room for those of the others. */
  private static final long MAX_HELD_CONTROL_BYTES = 16L * MAX_CONTROL_BYTES;

  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpTransport transport;
  private final Bounds bounds;
  private final HeldBytes held;
  private final HeldBytes controlBytes = new HeldBytes(MAX_HELD_CONTROL_BYTES);
  private final JsonCalls json = new JsonCalls(ErrorCode.SERVER_FAILED);

  /**
   * Bounds of what is accepted from an engine.
   *
   * @param maxLineBytes longest line of an event stream
   * @param maxEventBytes largest event
   * @param maxBodyBytes largest body that is not streamed
   * @param controlTimeout longest time of a report, a probe, an order or a cancellation
   */
  public record Bounds(
      int maxLineBytes, int maxEventBytes, int maxBodyBytes, Duration controlTimeout) {}

  /**
   * Creates a client.
   *
   * @param transport connections
   * @param bounds limits of answers
   * @param held account of the bodies of all attempts
   */
  public HttpEngineClient(HttpTransport transport, Bounds bounds, HeldBytes held) {
    this.transport = transport;
    this.bounds = bounds;
    this.held = held;
  }

  @Override
  public EngineExchange open(EngineRequest request, EngineListener listener) {
    EngineAnswerHandler handler =
        new EngineAnswerHandler(request, bounds, held, listener, () -> postCancel(request));
    RequestBuilder builder =
        transport
            .request(request.engine().address(), "POST", request.path(), request.use())
            .setHeaders(headers(request))
            .setBody(request.body());
    Future<?> future = transport.execute(builder.build(), handler);
    handler.started(future);
    return handler;
  }

  @Override
  public CompletionStage<Result<ServerReport>> report(EngineAddress engine) {
    return get(engine, "/server/report", ConnectionUse.ANY, ServerReport.class);
  }

  @Override
  public CompletionStage<Result<ServerReport>> probe(EngineAddress engine) {
    return get(engine, "/server/report", ConnectionUse.FRESH, ServerReport.class)
        .thenApply(
            result -> {
              if (result instanceof Result.Success<ServerReport>) {
                transport.closeIdle(engine.address());
              }
              return result;
            });
  }

  @Override
  public CompletionStage<Result<CacheEvents>> cacheEvents(
      EngineAddress engine, long after, int max) {
    String path = "/server/cache-events?after=" + after + "&max=" + max;
    return get(engine, path, ConnectionUse.ANY, CacheEvents.class);
  }

  @Override
  public CompletionStage<Result<Boolean>> order(EngineAddress engine, ServerOrderMessage order) {
    return post(engine, "/server/orders", json.write(order))
        .thenApply(
            outcome ->
                json.answered(outcome, engine.peer())
                    .flatMap(answer -> orderResult(engine, answer.status())));
  }

  private Result<Boolean> orderResult(EngineAddress engine, int status) {
    return switch (status) {
      case OK, ACCEPTED -> Result.success(true);
      case CONFLICT -> Result.success(false);
      default -> Result.failure(json.uncertain(engine.peer(), "status " + status));
    };
  }

  private <T> CompletionStage<Result<T>> get(
      EngineAddress engine, String path, ConnectionUse use, Class<T> type) {
    HttpCall call =
        new HttpCall(
            engine.address(),
            "GET",
            path,
            new DefaultHttpHeaders(),
            new byte[0],
            bounds.controlTimeout(),
            MAX_CONTROL_BYTES,
            controlBytes,
            use);
    return transport.call(call).thenApply(outcome -> json.read(outcome, engine.peer(), type));
  }

  private CompletionStage<HttpOutcome> post(EngineAddress engine, String path, byte[] body) {
    return transport.call(
        new HttpCall(
            engine.address(),
            "POST",
            path,
            json.jsonHeaders(),
            body,
            bounds.controlTimeout(),
            MAX_CONTROL_BYTES,
            controlBytes,
            ConnectionUse.ANY));
  }

  private void postCancel(EngineRequest request) {
    byte[] body = json.write(Map.of("attempt_id", request.attemptId()));
    post(request.engine(), "/server/cancel", body);
  }

  private HttpHeaders headers(EngineRequest request) {
    HttpHeaders headers = json.jsonHeaders();
    headers.set("X-Attempt-Id", request.attemptId());
    headers.set("X-Priority", request.priority().name().toLowerCase(Locale.ROOT));
    request
        .expectedIncarnation()
        .ifPresent(value -> headers.set("X-Expected-Incarnation", value.value()));
    request.expectedWeights().ifPresent(value -> headers.set("X-Expected-Weights", value.value()));
    request.remainingMillis().ifPresent(value -> headers.set("X-Request-Deadline-Ms", value));
    request.lastEventId().ifPresent(value -> headers.set("Last-Event-ID", value));
    if (!request.blockKeys().isEmpty()) {
      headers.set("X-Block-Keys", encode(request.blockKeys()));
    }
    if (request.use().equals(ConnectionUse.FRESH)) {
      headers.set("Connection", "close");
    }
    return headers;
  }

  private static String encode(List<BlockKey> keys) {
    ByteBuffer bytes = ByteBuffer.allocate(keys.size() * BlockKey.BYTES);
    for (BlockKey key : keys) {
      bytes.putLong(key.high()).putLong(key.low());
    }
    return Base64.getEncoder().encodeToString(bytes.array());
  }
}
