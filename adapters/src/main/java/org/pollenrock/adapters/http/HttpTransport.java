package org.pollenrock.adapters.http;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.Timer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.channel.ChannelPoolPartitioning;

/**
 * HTTP/1.1 client shared by all adapters of one router.
 *
 * <p>The library's own retries and redirects are off: a retry may run a call twice, so only the
 * router decides on one.
 */
public final class HttpTransport implements AutoCloseable {
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);
  private static final Duration CLEANER_PERIOD = Duration.ofSeconds(1);
  private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAX_LINE_BYTES)
          .setMaxHeaderSize(MAX_HEADER_BYTES)
          .setMaxChunkSize(MAX_CHUNK_BYTES);

  private final PeerChannelPool pool;
  private final AsyncHttpClient client;

  /**
   * Creates a client on event loops that the owner closes after this client.
   *
   * @param loops event loops for the connections
   * @param timer timer for time limits, stopped by the owner
   * @param connectTimeout longest time to establish a connection
   */
  public HttpTransport(EventLoopGroup loops, Timer timer, Duration connectTimeout) {
    this.pool = new PeerChannelPool(System::nanoTime, timer, IDLE_LIMIT, CLEANER_PERIOD);
    String name = UUID.randomUUID().toString();
    AtomicLong requests = new AtomicLong();
    Supplier<String> requestIds = () -> name + "/0/" + requests.incrementAndGet();
    this.client =
        new DefaultAsyncHttpClient(
            new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(loops)
                .setNettyTimer(timer)
                .setChannelPool(pool)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setHttp2Enabled(false)
                .setUseProxySelector(false)
                .setUseProxyProperties(false)
                .setDisableUrlEncodingForBoundRequests(true)
                .setEnableAutomaticDecompression(false)
                .setKeepEncodingHeader(true)
                .setTcpNoDelay(true)
                .setConnectTimeout(connectTimeout)
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .setHttpAdditionalChannelInitializer(
                    channel -> ResponseGuard.addTo(channel, DECODER, requestIds))
                .build());
  }

  /**
   * Sends a request and reads the whole answer.
   *
   * @param call the request
   * @return completes normally with the outcome, on an event loop
   */
  public CompletionStage<HttpOutcome> call(HttpCall call) {
    CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
    start(
        call,
        ended -> {
          closeIdleAfterTimeout(call.peer(), ended);
          outcome.complete(ended);
        });
    return outcome;
  }

  /** What made one connection silent may have done so to the idle ones that are older. */
  private void closeIdleAfterTimeout(HostPort peer, HttpOutcome ended) {
    if (ended instanceof HttpOutcome.Broken broken && broken.timedOut()) {
      closeIdle(peer);
    }
  }

  /**
   * Sends a request that can be cancelled and reads the whole answer.
   *
   * @param call the request
   * @param done receives the outcome once, on an event loop
   * @return cancelling it closes the connection
   */
  public Future<?> start(HttpCall call, Consumer<HttpOutcome> done) {
    RequestBuilder builder =
        request(call.peer(), call.method(), call.path(), call.use())
            .setHeaders(call.headers())
            .setRequestTimeout(call.timeout());
    if (call.use().isFresh()) {
      builder.setHeader("Connection", "close");
    }
    if (call.body().length > 0) {
      builder.setBody(call.body());
    }
    return execute(
        builder.build(), new WholeAnswerHandler(call.maxAnswerBytes(), call.held(), done));
  }

  /**
   * Starts a request with a handler of its own.
   *
   * @param request built by {@link #request}
   * @param handler receives every event; {@code onThrowable} also receives failures to start
   * @return cancelling it closes the connection
   */
  public Future<?> execute(Request request, AsyncHandler<?> handler) {
    try {
      return client.executeRequest(request, handler);
    } catch (IllegalStateException e) {
      handler.onThrowable(e);
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * Begins a request on connections to a peer.
   *
   * @param peer where to send it
   * @param method the HTTP method
   * @param path path and query, starting with a slash
   * @param use which connections may be used
   * @return a builder to which headers and a body are added
   */
  public RequestBuilder request(HostPort peer, String method, String path, ConnectionUse use) {
    PeerChannelPool.PoolKey key = new PeerChannelPool.PoolKey(peer, use);
    ChannelPoolPartitioning partitioning = (uri, virtualHost, proxy) -> key;
    return new RequestBuilder(method, true)
        .setUrl(peer.url(path))
        .setChannelPoolPartitioning(partitioning);
  }

  /**
   * Closes the idle connections to a peer, for example when one of them was found silent.
   *
   * @param peer the other end
   */
  public void closeIdle(HostPort peer) {
    pool.closeIdle(peer);
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
