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

/** Accepts connections of callers and keeps track of them. */
final class CallerListener {
  /**
   * Maximum number of connections that wait to be accepted; a full queue delays callers by seconds.
   */
  private static final int BACKLOG = 1024;

  /**
   * Idle time allowed in addition to the limit, so that a request sent just in time is still read.
   */
  private static final long IDLE_GRACE_MILLIS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ActiveConfig configs;
  private final ExchangeFactory exchangeFactory;
  private final LoopMonitor loopMonitor;
  private final BodyMemory bodyMemory;
  private final GatewayMetrics metrics;
  private final EventLog log;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel channel;
  private boolean draining;
  private long lastReceivedNanos = System.nanoTime();

  CallerListener(
      EventLoop loop,
      InetSocketAddress address,
      ActiveConfig configs,
      ExchangeFactory exchangeFactory,
      LoopMonitor loopMonitor,
      BodyMemory bodyMemory,
      GatewayMetrics metrics,
      EventLog log) {
    this.loop = loop;
    this.address = address;
    this.configs = configs;
    this.exchangeFactory = exchangeFactory;
    this.loopMonitor = loopMonitor;
    this.bodyMemory = bodyMemory;
    this.metrics = metrics;
    this.log = log;
  }

  /** Binds the address and starts to accept connections. */
  void start() throws InterruptedException {
    channel = ListenSocket.bind(loop, address, BACKLOG, this::initPipeline);
  }

  /** Makes each connection close after its next response. */
  void drain() {
    draining = true;
  }

  /** Answers all requests that are being received or processed. */
  void answerAll() {
    List.copyOf(connections).forEach(CallerConnection::answer);
  }

  /** Records that bytes have arrived on a connection. */
  void recordBytesReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
  }

  /** Returns the time at which bytes last arrived on any connection. */
  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Closes the listening socket. */
  void stop() {
    channel.close();
  }

  /** Enforces the time limits for slow and idle callers. */
  void sweep() {
    CallerBounds bounds = configs.callerBounds();
    long now = System.nanoTime();
    long headerTimeoutNanos = bounds.headerTimeoutMillis() * 1_000_000;
    long idleTimeoutNanos = (bounds.idleTimeoutMillis() + IDLE_GRACE_MILLIS) * 1_000_000;
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.sweep(now, headerTimeoutNanos, idleTimeoutNanos);
    }
  }

  /** Returns the number of connections on which a request is being received or processed. */
  long busyConnections() {
    return connections.stream().filter(CallerConnection::isBusy).count();
  }

  /** Returns the number of open connections. */
  int openConnections() {
    return connections.size();
  }

  /** Returns the bound address. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Adds a connection that was accepted. */
  void register(CallerConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection that was closed. */
  void unregister(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Returns the limits for callers of the configuration in force. */
  CallerBounds bounds() {
    return configs.callerBounds();
  }

  ExchangeFactory exchangeFactory() {
    return exchangeFactory;
  }

  LoopMonitor loopMonitor() {
    return loopMonitor;
  }

  BodyMemory bodyMemory() {
    return bodyMemory;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  EventLog log() {
    return log;
  }

  /** Returns whether each connection has to close after its next response. */
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
