package org.pollenrock.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Open connections to one address; the one used last is used first. */
final class ConnectionPool {
  /** Idle time up to which a connection is reused when the server tells no timeout. */
  private static final long DEFAULT_REUSE_IDLE_NANOS = 4_000_000_000L;

  /** Idle time up to which a connection may carry a request that must not be sent twice. */
  private static final long DEFAULT_FRESH_IDLE_NANOS = 1_000_000_000L;

  /** Part of the server's idle timeout up to which a connection is reused. */
  private static final double REUSE_IDLE_FRACTION = 0.7;

  /** Part of it up to which a connection may carry a request that must not be sent twice. */
  private static final double FRESH_IDLE_FRACTION = 0.4;

  private static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxHeaderSize(32_768)
          .setMaxChunkSize(65_536)
          .setValidateHeaders(false);

  /** Follows what happens to the connections. */
  interface Observer {
    /** A connect ended; whoever takes the connection hears of it too. */
    default void connectFinished(boolean success) {}

    /** A server sent bytes that belong to no request; its connection is closed. */
    void strayBytesReceived(InetSocketAddress address);
  }

  /** Waits for a connection. */
  interface AcquireListener {
    /** A connection is there; it is the taker's until the request has ended. */
    void connected(HttpConnection connection, boolean reused);

    /** None could be opened. */
    void connectFailed(Throwable cause);
  }

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final int connectTimeoutMillis;
  private final Observer observer;
  private final Deque<HttpConnection> idle = new ArrayDeque<>();

  ConnectionPool(
      EventLoop loop, InetSocketAddress address, int connectTimeoutMillis, Observer observer) {
    this.loop = loop;
    this.address = address;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.observer = observer;
  }

  /**
   * Takes a connection.
   *
   * @param once whether the request must not be sent twice, so that the connection's life must be
   *     known
   * @param taker gets the connection, at once when an idle one can be used
   */
  void acquire(boolean once, AcquireListener taker) {
    long now = System.nanoTime();
    for (Iterator<HttpConnection> all = idle.iterator(); all.hasNext(); ) {
      HttpConnection connection = all.next();
      if (!connection.isUsable() || isStale(connection, now)) {
        all.remove();
        connection.close();
        continue;
      }
      if (!once || isFresh(connection, now)) {
        all.remove();
        taker.connected(connection, true);
        return;
      }
    }
    connect(taker);
  }

  void returnIdle(HttpConnection connection) {
    idle.addFirst(connection);
  }

  void reportStrayBytes() {
    observer.strayBytesReceived(address);
  }

  void remove(HttpConnection connection) {
    idle.remove(connection);
  }

  /** Closes connections that have been idle for too long. */
  void sweep() {
    long now = System.nanoTime();
    List<HttpConnection> old = new ArrayList<>();
    for (HttpConnection connection : idle) {
      if (!connection.isUsable() || isStale(connection, now)) {
        old.add(connection);
      }
    }
    old.forEach(idle::remove);
    old.forEach(HttpConnection::close);
  }

  /** Closes all idle connections. */
  void closeIdle() {
    List<HttpConnection> all = List.copyOf(idle);
    idle.clear();
    all.forEach(HttpConnection::close);
  }

  private void connect(AcquireListener taker) {
    HttpConnection connection = new HttpConnection(this);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec(DECODER, false, false))
                        .addLast(connection);
                  }
                })
            .connect(address);
    connecting.addListener(
        done -> {
          observer.connectFinished(done.isSuccess());
          if (done.isSuccess()) {
            taker.connected(connection, false);
          } else {
            taker.connectFailed(done.cause());
          }
        });
  }

  private static boolean isStale(HttpConnection connection, long now) {
    return isIdleLongerThan(connection, now, DEFAULT_REUSE_IDLE_NANOS, REUSE_IDLE_FRACTION);
  }

  private static boolean isFresh(HttpConnection connection, long now) {
    return !isIdleLongerThan(connection, now, DEFAULT_FRESH_IDLE_NANOS, FRESH_IDLE_FRACTION);
  }

  /** Whether a connection was idle for longer than a part of what the server allows. */
  private static boolean isIdleLongerThan(
      HttpConnection connection, long now, long defaultNanos, double share) {
    long limit =
        connection.keepAliveNanos() < 0
            ? defaultNanos
            : (long) (connection.keepAliveNanos() * share);
    return now - connection.idleSinceNanos() > limit;
  }
}
