package org.pollenrock.adapters.kv;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.adapters.http.HttpCall;
import org.pollenrock.adapters.http.HttpOutcome;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.http.JsonCalls;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.model.BlockKey;

/** {@link KvStoreClient} over HTTP. */
public final class HttpKvStoreClient implements KvStoreClient {
  private static final int MAX_BLOCK_BYTES = 64 * 1024 * 1024;
  private static final long MAX_HELD_BYTES = 4L * MAX_BLOCK_BYTES;
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;

  private final HttpTransport transport;
  private final HostPort address;
  private final HeldBytes held = new HeldBytes(MAX_HELD_BYTES);
  private final Duration timeout;
  private final Peer peer;
  private final JsonCalls json = new JsonCalls(ErrorCode.SERVER_FAILED);

  /**
   * Creates a client.
   *
   * @param transport connections
   * @param address where the store listens
   * @param timeout longest time of an exchange
   */
  public HttpKvStoreClient(HttpTransport transport, HostPort address, Duration timeout) {
    this.transport = transport;
    this.address = address;
    this.timeout = timeout;
    this.peer = new Peer(Peer.Kind.KV_STORE, address.toString());
  }

  @Override
  public CompletionStage<Result<Optional<byte[]>>> get(BlockKey key) {
    return exchange("GET", key, new byte[0])
        .thenApply(
            outcome ->
                json.answered(outcome, peer)
                    .flatMap(
                        answer ->
                            switch (answer.status()) {
                              case OK -> Result.success(Optional.of(answer.body()));
                              case NOT_FOUND -> Result.success(Optional.<byte[]>empty());
                              default -> failed(answer.status());
                            }));
  }

  @Override
  public CompletionStage<Result<Boolean>> put(BlockKey key, byte[] block) {
    return exchange("PUT", key, block)
        .thenApply(
            outcome ->
                json.answered(outcome, peer)
                    .flatMap(
                        answer ->
                            switch (answer.status()) {
                              case OK, CREATED, NO_CONTENT -> Result.success(true);
                              default -> failed(answer.status());
                            }));
  }

  private <T> Result<T> failed(int status) {
    return Result.failure(json.uncertain(peer, "status " + status));
  }

  private CompletionStage<HttpOutcome> exchange(String method, BlockKey key, byte[] body) {
    return transport.call(
        new HttpCall(
            address,
            method,
            "/kv/" + key,
            new DefaultHttpHeaders(),
            body,
            timeout,
            MAX_BLOCK_BYTES,
            held,
            ConnectionUse.ANY));
  }
}
