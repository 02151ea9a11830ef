package org.pollenrock.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.route.CallerBounds;

/** Accepts callers' connections. */
final class CallerListener {
  /** Connections that may wait to be accepted; a full queue delays callers by seconds. */
  private static final int BACKLOG = 1024;

  /** Idle time allowed beyond the bound, so that a request sent just in time is still read. */
  private static final long IDLE_GRACE_MILLIS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ActiveConfig configs;
  private final ExchangeFactory exchangeFactory;
  private final EventLog log;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel channel;
  private boolean draining;

  CallerListener(
      EventLoop loop,
      InetSocketAddress address,
      ActiveConfig configs,
      ExchangeFactory exchanges,
      EventLog log) {
    this.loop = loop;
    this.address = address;
    this.configs = configs;
    this.exchangeFactory = exchanges;
    this.log = log;
  }

  /** Binds the address. */
  void start() throws InterruptedException {
    channel = ListenSocket.bind(loop, address, BACKLOG, this::initPipeline);
  }

  /** From now on, every answer closes its connection. */
  void drain() {
    draining = true;
  }

  /** Closes connections on which nothing is under way. */
  void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  void stop() {
    channel.close();
  }

  /** Enforces the bounds on slow and idle callers. */
  void sweep() {
    CallerBounds bounds = configs.callerBounds();
    long now = System.nanoTime();
    long header = bounds.headerTimeoutMillis() * 1_000_000;
    long idle = (bounds.idleTimeoutMillis() + IDLE_GRACE_MILLIS) * 1_000_000;
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.sweep(now, header, idle);
    }
  }

  /** Connections on which a request is read or answered. */
  long busyConnections() {
    return connections.stream().filter(CallerConnection::isBusy).count();
  }

  int openConnections() {
    return connections.size();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  void register(CallerConnection connection) {
    connections.add(connection);
  }

  void unregister(CallerConnection connection) {
    connections.remove(connection);
  }

  CallerBounds bounds() {
    return configs.callerBounds();
  }

  ExchangeFactory exchanges() {
    return exchangeFactory;
  }

  EventLog log() {
    return log;
  }

  boolean isDraining() {
    return draining;
  }

  private void initPipeline(Channel child) {
    CallerConnection connection = new CallerConnection(this);
    child
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                connection.recordBytesReceived();
                context.fireChannelRead(bytes);
              }
            })
        .addLast(new RequestDecoder(configs.callerBounds().maxHeaderBytes()))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }
}
