package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.fleet.Backend;

/**
 * Calls outside services with small bodies: the platform's store, reports and orders.
 *
 * <p>Every call has a deadline. A call that misses it closes its connection, so that the next one
 * opens a fresh one and does not wait on a link that went silent.
 */
public final class ControlClient {
  /** Longest time to open a connection, in milliseconds; several round trips between zones. */
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  /** Longest body of an answer, in bytes; above the largest page of the platform's store. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  /**
   * A call.
   *
   * @param method HTTP method
   * @param target path and query
   * @param headers headers besides host and length
   * @param body body; may be empty
   * @param timeoutMillis longest time to wait for the whole answer
   */
  public record Call(
      HttpMethod method,
      String target,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis) {}

  private final EventLoop loop;
  private final ConnectionPool.Observer observer;
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param loop event loop that calls are made on and results are given on
   * @param log the log
   */
  public ControlClient(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.observer = address -> ServerConnectionObserver.logStrayBytes(log, address);
  }

  /**
   * Makes a call; to be used on the event loop.
   *
   * @param address address of the service
   * @param call the call
   * @param result gets the outcome, once
   */
  public void call(InetSocketAddress address, Call call, Consumer<CallResult> result) {
    new PendingCall(address, call, result).start();
  }

  /**
   * Makes a call to a backend server; to be used on the event loop.
   *
   * @param server the server
   * @param call the call
   * @param result gets the outcome, once
   */
  public void call(Backend server, Call call, Consumer<CallResult> result) {
    call(ServerConnectionPools.address(server), call, result);
  }

  /** Closes idle connections that a server is likely to close soon. */
  public void sweep() {
    pools.values().forEach(ConnectionPool::sweep);
  }

  private ConnectionPool pool(InetSocketAddress address) {
    return pools.computeIfAbsent(
        address, to -> new ConnectionPool(loop, to, CONNECT_TIMEOUT_MILLIS, observer));
  }

  private final class PendingCall
      implements ConnectionPool.AcquireListener, HttpConnection.Listener {
    private final InetSocketAddress address;
    private final Call call;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Consumer<CallResult> result;
    private ScheduledFuture<?> timeoutTimer;
    private HttpConnection connection;
    private HttpResponse head;

    private PendingCall(InetSocketAddress address, Call call, Consumer<CallResult> result) {
      this.address = address;
      this.call = call;
      this.result = result;
    }

    private void start() {
      timeoutTimer =
          loop.schedule(this::handleTimeout, call.timeoutMillis(), TimeUnit.MILLISECONDS);
      pool(address).acquire(false, this);
    }

    @Override
    public void connected(HttpConnection opened, boolean reused) {
      if (result == null) {
        opened.close();
        return;
      }
      connection = opened;
      ByteBuf content = Unpooled.wrappedBuffer(call.body());
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target(), content);
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      call.headers().forEach((name, value) -> request.headers().set(name, value));
      if (call.method().equals(HttpMethod.POST)) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
      }
      opened.send(request, this);
    }

    @Override
    public void connectFailed(Throwable cause) {
      finish(failed(Step.SEND, cause.toString(), false));
    }

    @Override
    public boolean headReceived(HttpResponse response) {
      head = response;
      return true;
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
      if (body.size() + bytes.readableBytes() > MAX_BODY_BYTES) {
        connection.abandon();
        requestFailed(new IOException("answer longer than " + MAX_BODY_BYTES + " bytes"));
        return;
      }
      byte[] chunk = new byte[bytes.readableBytes()];
      bytes.readBytes(chunk);
      body.writeBytes(chunk);
    }

    @Override
    public void responseEnded() {
      finish(new CallResult.Answered(head.status().code(), head.headers(), body.toByteArray()));
    }

    @Override
    public void requestFailed(Throwable cause) {
      finish(failed(Step.RELAY, cause.toString(), true));
    }

    private void handleTimeout() {
      if (result == null) {
        return;
      }
      boolean sent = connection != null;
      if (sent) {
        connection.abandon();
      }
      finish(failed(sent ? Step.RELAY : Step.SEND, "timeout", sent));
    }

    private CallResult failed(Step step, String cause, boolean sent) {
      return new CallResult.Failed(
          step, address.getHostString() + ":" + address.getPort(), cause, sent);
    }

    private void finish(CallResult outcome) {
      if (result == null) {
        return;
      }
      timeoutTimer.cancel(false);
      Consumer<CallResult> taker = result;
      result = null;
      taker.accept(outcome);
    }
  }
}
