package org.pollenrock.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.pollenrock.core.response.HeadCheck;

/** Pool of client connections to one address; reuses the most recently used connection first. */
final class ConnectionPool {
  /** Maximum idle time of a reused connection, if the server announces no keep-alive timeout. */
  private static final long DEFAULT_REUSE_IDLE_NANOS = 4_000_000_000L;

  /**
   * Maximum idle time of a connection that carries a request which must not be sent twice, if the
   * server announces no keep-alive timeout.
   */
  private static final long DEFAULT_FRESH_IDLE_NANOS = 1_000_000_000L;

  /** Maximum idle time of a reused connection, as a fraction of the server's keep-alive timeout. */
  private static final double REUSE_IDLE_FRACTION = 0.7;

  /**
   * Maximum idle time of a connection that carries a request which must not be sent twice, as a
   * fraction of the server's keep-alive timeout.
   */
  private static final double FRESH_IDLE_FRACTION = 0.4;

  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 2_048;

  /** Maximum size of one read, which limits the time that the event loop spends for it. */
  private static final int MAX_READ_BYTES = 16_384;

  /** Configuration of the decoders of responses. */
  static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxHeaderSize(32_768)
          .setMaxChunkSize(65_536)
          .setValidateHeaders(false);

  /** Receives events of the connections of a pool. */
  interface Observer {
    /** Called when an attempt to connect has ended, before the acquirer is notified. */
    default void connectFinished(boolean success) {}

    /** Called when a server has sent bytes that belong to no request; the connection is closed. */
    void strayBytesReceived(InetSocketAddress address);
  }

  /** Receives an acquired connection. */
  interface AcquireListener {
    /**
     * Called with the connection, which the acquirer may use for one request.
     *
     * @param reused whether the connection has carried a request before
     */
    void connected(HttpConnection connection, boolean reused);

    /** Called when no connection could be opened. */
    void connectFailed(Throwable cause);
  }

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int connectTimeoutMillis;
  private final ReadShare readShare;
  private final Observer observer;
  private final HeadCheck headCheck;
  private final Deque<HttpConnection> idleConnections = new ArrayDeque<>();

  ConnectionPool(
      EventLoop loop,
      InetSocketAddress address,
      int connectTimeoutMillis,
      ReadShare readShare,
      Observer observer,
      HeadCheck headCheck) {
    this.loop = loop;
    this.address = address;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.readShare = readShare;
    this.observer = observer;
    this.headCheck = headCheck;
  }

  /**
   * Acquires an idle connection or opens a new one.
   *
   * @param sendOnce whether the request must not be sent twice, so that an idle connection is
   *     reused only while the server is sure to keep it open
   * @param acquirer receives the connection; during this call if an idle one can be used
   */
  void acquire(boolean sendOnce, AcquireListener acquirer) {
    long now = System.nanoTime();
    for (Iterator<HttpConnection> connections = idleConnections.iterator();
        connections.hasNext(); ) {
      HttpConnection connection = connections.next();
      if (!connection.isUsable() || isStale(connection, now)) {
        connections.remove();
        connection.close();
        continue;
      }
      if (!sendOnce || isFresh(connection, now)) {
        connections.remove();
        acquirer.connected(connection, true);
        return;
      }
    }
    connect(acquirer);
  }

  /** Takes a connection back whose request has ended. */
  void returnIdle(HttpConnection connection) {
    idleConnections.addFirst(connection);
  }

  /** Returns the check of the heads of responses. */
  HeadCheck headCheck() {
    return headCheck;
  }

  /** Returns what shares the time of the event loop among the connections. */
  ReadShare readShare() {
    return readShare;
  }

  /** Reports bytes to the observer that belong to no request. */
  void reportStrayBytes() {
    observer.strayBytesReceived(address);
  }

  /** Removes a connection that was closed. */
  void remove(HttpConnection connection) {
    idleConnections.remove(connection);
  }

  /** Closes connections that have been idle for too long to be reused. */
  void sweep() {
    long now = System.nanoTime();
    List<HttpConnection> expired = new ArrayList<>();
    for (HttpConnection connection : idleConnections) {
      if (!connection.isUsable() || isStale(connection, now)) {
        expired.add(connection);
      }
    }
    expired.forEach(idleConnections::remove);
    expired.forEach(HttpConnection::close);
  }

  /** Closes all idle connections. */
  void closeIdle() {
    List<HttpConnection> connections = List.copyOf(idleConnections);
    idleConnections.clear();
    connections.forEach(HttpConnection::close);
  }

  /**
   * Opens a connection even if an idle one could be used.
   *
   * @param acquirer receives the connection
   */
  void connect(AcquireListener acquirer) {
    HttpConnection connection = new HttpConnection(this);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.addTo(channel.pipeline());
                  }
                })
            .connect(address);
    connecting.addListener(
        done -> {
          observer.connectFinished(done.isSuccess());
          if (done.isSuccess()) {
            acquirer.connected(connection, false);
          } else {
            acquirer.connectFailed(done.cause());
          }
        });
  }

  private static boolean isStale(HttpConnection connection, long now) {
    return isIdleLongerThan(connection, now, DEFAULT_REUSE_IDLE_NANOS, REUSE_IDLE_FRACTION);
  }

  private static boolean isFresh(HttpConnection connection, long now) {
    return !isIdleLongerThan(connection, now, DEFAULT_FRESH_IDLE_NANOS, FRESH_IDLE_FRACTION);
  }

  /**
   * Returns whether a connection has been idle for longer than a fraction of the server's
   * keep-alive timeout, or than a default if the timeout is not known.
   */
  private static boolean isIdleLongerThan(
      HttpConnection connection, long now, long defaultNanos, double fraction) {
    long limit =
        connection.keepAliveNanos() < 0
            ? defaultNanos
            : (long) (connection.keepAliveNanos() * fraction);
    return now - connection.idleSinceNanos() > limit;
  }
}
