package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.response.HeadCheck;

/**
 * HTTP client for calls with small bodies: to the platform's store, and to servers for probes,
 * reports and orders.
 *
 * <p>Each call has a timeout. A call that times out closes its connection and the idle ones to the
 * same address, so that the next call opens a new one instead of waiting on a connection that went
 * silent.
 */
public final class ControlClient {
  /** Maximum time to open a connection; allows for several round trips between zones. */
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  /** Maximum size of a response body; larger than the largest page of the platform's store. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  /**
   * Request of a call.
   *
   * @param method HTTP method
   * @param target path and query
   * @param headers headers except Host and Content-Length
   * @param body body; may be empty
   * @param timeoutMillis maximum time to wait for the complete response
   */
  public record Call(
      HttpMethod method,
      String target,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis) {}

  private final EventLoop loop;
  private final ServerGate serverGate;
  private final EventLog log;
  private final HeadCheck headCheck;
  private final BodyMemory responseMemory;
  private final ConnectionPool.Observer observer;
  private final ReadShare readShare;
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param loop event loop on which calls have to be made and results are passed on
   * @param serverGate keeps calls from servers that want none
   * @param headCheck check of the heads of responses
   * @param responseMemory limit on the bytes of responses in memory
   * @param log the event log
   */
  public ControlClient(
      EventLoop loop,
      ServerGate serverGate,
      HeadCheck headCheck,
      BodyMemory responseMemory,
      EventLog log) {
    this.loop = loop;
    this.readShare = new ReadShare(loop);
    this.serverGate = serverGate;
    this.headCheck = headCheck;
    this.responseMemory = responseMemory;
    this.log = log;
    this.observer = address -> ServerConnectionObserver.logStrayBytes(log, address);
  }

  /**
   * Makes a call. Must be called on the event loop.
   *
   * @param address address of the service
   * @param call the call
   * @param result receives the outcome, exactly once
   */
  public void call(InetSocketAddress address, Call call, Consumer<CallResult> result) {
    callOnAnyConnection(address, call, () -> true, result);
  }

  /**
   * Makes a call to a backend server. Must be called on the event loop.
   *
   * @param server the server
   * @param call the call
   * @param result receives the outcome, exactly once
   */
  public void call(Backend server, Call call, Consumer<CallResult> result) {
    if (serverGate.tryEnter(server)) {
      callOnAnyConnection(
          ServerConnectionPools.address(server),
          call,
          () -> serverGate.permitsSend(server),
          recordingNotices(server, result));
    } else {
      result.accept(unwanted(server));
    }
  }

  /**
   * Makes a call to a backend server on a new connection, which carries nothing else. For calls
   * whose effect is read from the status of the response: the responses to calls name no call, so
   * that a late copy of an earlier one could not be told apart. Must be called on the event loop.
   *
   * @param server the server
   * @param call the call
   * @param maySend asked once the connection is open; if it returns false, nothing is sent and the
   *     call fails
   * @param result receives the outcome, exactly once
   */
  public void callOnNewConnection(
      Backend server, Call call, BooleanSupplier maySend, Consumer<CallResult> result) {
    if (!serverGate.tryEnter(server)) {
      result.accept(unwanted(server));
      return;
    }
    InetSocketAddress address = ServerConnectionPools.address(server);
    PendingCall pending =
        new PendingCall(
            address,
            call,
            recordingNotices(server, result),
            false,
            () -> maySend.getAsBoolean() && serverGate.permitsSend(server));
    pending.startTimeout();
    pool(address).connect(pending);
  }

  /** Closes idle connections that their servers are likely to close soon. */
  public void sweep() {
    pools.values().forEach(ConnectionPool::sweep);
  }

  private void callOnAnyConnection(
      InetSocketAddress address, Call call, BooleanSupplier maySend, Consumer<CallResult> result) {
    PendingCall pending = new PendingCall(address, call, result, true, maySend);
    pending.startTimeout();
    pool(address).acquire(false, pending);
  }

  private Consumer<CallResult> recordingNotices(Backend server, Consumer<CallResult> result) {
    return outcome -> {
      if (outcome instanceof CallResult.Answered answered) {
        serverGate.recordResponse(server, answered.status(), answered.headers());
      }
      result.accept(outcome);
    };
  }

  private static CallResult unwanted(Backend server) {
    return new CallResult.Failed(
        Step.SEND, server.entry().address(), "server wants no requests", false);
  }

  private ConnectionPool pool(InetSocketAddress address) {
    return pools.computeIfAbsent(
        address,
        target ->
            new ConnectionPool(
                loop, target, CONNECT_TIMEOUT_MILLIS, readShare, observer, headCheck));
  }

  /**
   * Runs an action after the loop has read what its sockets hold now. The first task may run before
   * that, if this method is called while input is handled.
   */
  private void runAfterNextRead(Runnable action) {
    NextTurn.run(loop, () -> NextTurn.run(loop, action));
  }

  /** Call whose outcome is not known yet. */
  private final class PendingCall
      implements ConnectionPool.AcquireListener, HttpConnection.Listener {
    private final InetSocketAddress address;
    private final Call call;
    private final boolean connectionReused;
    private final BooleanSupplier maySend;
    private Consumer<CallResult> result;
    private ScheduledFuture<?> timeoutTimer;
    private HttpConnection connection;
    private HttpResponse head;
    private ReservedBuffer body;

    private PendingCall(
        InetSocketAddress address,
        Call call,
        Consumer<CallResult> result,
        boolean connectionReused,
        BooleanSupplier maySend) {
      this.address = address;
      this.call = call;
      this.result = result;
      this.connectionReused = connectionReused;
      this.maySend = maySend;
    }

    private void startTimeout() {
      timeoutTimer =
          loop.schedule(this::handleTimeout, call.timeoutMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void connected(HttpConnection opened, boolean reused) {
      if (reused) {
        // What waits in the socket is not the response to this call, and has to be read before.
        runAfterNextRead(() -> sendOnIdle(opened));
      } else {
        sendOn(opened);
      }
    }

    private void sendOnIdle(HttpConnection idle) {
      if (result == null || idle.isUsable()) {
        sendOn(idle);
      } else {
        // The service has closed the connection, or has sent what belongs to no call.
        pool(address).acquire(false, this);
      }
    }

    private void sendOn(HttpConnection opened) {
      if (result == null) {
        opened.close();
        return;
      }
      if (!maySend.getAsBoolean()) {
        opened.close();
        finish(failure(Step.SEND, "no longer allowed", false));
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
      finish(failure(Step.SEND, cause.toString(), false));
    }

    @Override
    public boolean headReceived(HttpResponse response) {
      head = response;
      return true;
    }

    @Override
    public void malformedHeadReceived(MalformedHead malformed) {
      malformed.log(log, call.target(), "", address.getHostString() + ":" + address.getPort());
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
      if (body == null) {
        body = new ReservedBuffer(bytes.alloc(), responseMemory);
      }
      if (body.readableBytes() + bytes.readableBytes() > MAX_BODY_BYTES) {
        connection.abandon();
        requestFailed(new IOException("response body longer than " + MAX_BODY_BYTES + " bytes"));
      } else if (!body.append(bytes)) {
        connection.abandon();
        requestFailed(new IOException(BodyMemory.EXHAUSTED));
      }
    }

    @Override
    public boolean responseEnded() {
      byte[] content = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
      finish(new CallResult.Answered(head.status().code(), head.headers(), content));
      return connectionReused;
    }

    @Override
    public void requestFailed(Throwable cause) {
      finish(failure(Step.RELAY, cause.toString(), true));
    }

    private void handleTimeout() {
      if (result == null) {
        return;
      }
      boolean sent = connection != null;
      if (sent) {
        connection.abandon();
        pool(address).closeIdle();
      }
      finish(failure(sent ? Step.RELAY : Step.SEND, "timeout", sent));
    }

    private CallResult failure(Step step, String cause, boolean sent) {
      return new CallResult.Failed(
          step, address.getHostString() + ":" + address.getPort(), cause, sent);
    }

    private void finish(CallResult outcome) {
      if (result == null) {
        return;
      }
      timeoutTimer.cancel(false);
      Consumer<CallResult> resultConsumer = result;
      result = null;
      if (body != null) {
        body.release();
        body = null;
      }
      resultConsumer.accept(outcome);
    }
  }
}
