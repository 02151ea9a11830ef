package org.pollenrock.adapters.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.HashedWheelTimer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A transport with its event loop, and the responses that tests let servers write. */
public final class TransportBed implements AutoCloseable {
  public static final String ID = "X-Attempt-Id";
  private static final Duration LIMIT = Duration.ofSeconds(2);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HashedWheelTimer timer = new HashedWheelTimer();
  private final HttpTransport transport = new HttpTransport(loops, timer, LIMIT);
  private final HeldBytes held = new HeldBytes(4 << 20);
  private int calls;

  HeldBytes held() {
    return held;
  }

  /** The transport. */
  public HttpTransport transport() {
    return transport;
  }

  /** Keeps the event loop from reading and writing until a latch is released. */
  void holdLoopUntil(CountDownLatch released) {
    CountDownLatch held = new CountDownLatch(1);
    loops.execute(
        () -> {
          held.countDown();
          ScriptedServer.await(released);
        });
    ScriptedServer.await(held);
  }

  /** Makes a call with an identifier of its own, {@code router/1/1} for the first one. */
  HttpOutcome call(ScriptedServer server) {
    return call(server, ConnectionUse.ANY);
  }

  HttpOutcome call(ScriptedServer server, ConnectionUse use) {
    return start(server, use).join();
  }

  CompletableFuture<HttpOutcome> start(ScriptedServer server, ConnectionUse use) {
    calls++;
    HttpCall call =
        new HttpCall(
            server.address(),
            "POST",
            "/path",
            new DefaultHttpHeaders().set(ID, "router/1/" + calls),
            "{}".getBytes(StandardCharsets.UTF_8),
            LIMIT,
            1 << 20,
            held,
            use);
    return transport.call(call).toCompletableFuture();
  }

  /** A whole response with a body of six bytes. */
  public static String whole(int status, String id) {
    return "HTTP/1.1 "
        + status
        + " Oops\r\nX-Attempt-Id: "
        + id
        + "\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed";
  }

  /** Writes bytes at once. */
  public static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() {
    transport.close();
    timer.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
