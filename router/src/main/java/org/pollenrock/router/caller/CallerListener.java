package org.pollenrock.router.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.pollenrock.adapters.http.HeldBytes;

/** Accepts connections of callers. */
public final class CallerListener {
  private static final int BACKLOG = 4_096;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private final EventLoopGroup loops;
  private final InetSocketAddress address;
  private final CallerLimits limits;
  private final RequestHandler handler;
  private final Supplier<Optional<SslContext>> tls;
  private final HeldBytes heldBytes;
  private final DrainSwitch drain = new DrainSwitch();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel server;

  /**
   * Creates a listener.
   *
   * @param loops event loops of the listener and its connections
   * @param address where to listen; port 0 for one that the system chooses
   * @param limits bounds of each connection
   * @param handler serves requests
   * @param heldBytes account of the bodies that the router holds
   * @param tls the TLS context for each new connection, empty for plain TCP
   */
  public CallerListener(
      EventLoopGroup loops,
      InetSocketAddress address,
      CallerLimits limits,
      RequestHandler handler,
      HeldBytes heldBytes,
      Supplier<Optional<SslContext>> tls) {
    this.loops = loops;
    this.address = address;
    this.limits = limits;
    this.handler = handler;
    this.tls = tls;
    this.heldBytes = heldBytes;
  }

  /**
   * Binds the address and accepts connections.
   *
   * @throws UncheckedIOException when the address cannot be bound
   */
  public void start() {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(limits.maxQueuedBytes() / 4, limits.maxQueuedBytes()))
            .childHandler(new Initializer())
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new UncheckedIOException(
          new IOException("cannot listen on " + address + ": " + bound.cause().getMessage()));
    }
    server = bound.channel();
  }

  /**
   * Where the listener listens.
   *
   * @return the bound address
   */
  public InetSocketAddress boundAddress() {
    return (InetSocketAddress) server.localAddress();
  }

  /**
   * Number of open connections.
   *
   * @return the number
   */
  public int connections() {
    return connections.size();
  }

  /**
   * Bytes of request bodies held now.
   *
   * @return number of bytes
   */
  public long heldBytes() {
    return heldBytes.held();
  }

  /** Makes each connection close after its next response. */
  public void announceStop() {
    drain.turnOn();
  }

  /**
   * Accepts no more connections and refuses requests that have not begun to be served. Idle
   * connections stay open, since a request that crosses a close is lost.
   */
  public void refuseRequests() {
    drain.refuse();
    server.close().syncUninterruptibly();
  }

  /** Ends each open response. */
  public void stopResponses() {
    forEachConnection(connection -> connection.channel().eventLoop().execute(connection::stopNow));
  }

  /**
   * Counts connections with a request or with a response that may not have been sent.
   *
   * @return the number
   */
  public int busyConnections() {
    return count(CallerConnection::isBusy);
  }

  /**
   * Counts connections with a response that is open or not yet sent.
   *
   * @return the number
   */
  public int openResponses() {
    return count(CallerConnection::isAnswering);
  }

  private int count(Predicate<CallerConnection> wanted) {
    AtomicInteger count = new AtomicInteger();
    forEachConnection(
        connection -> {
          if (wanted.test(connection)) {
            count.incrementAndGet();
          }
        });
    return count.get();
  }

  private void forEachConnection(Consumer<CallerConnection> action) {
    for (Channel channel : connections) {
      CallerConnection connection = channel.pipeline().get(CallerConnection.class);
      if (connection != null) {
        action.accept(connection);
      }
    }
  }

  /** Closes the listener and every connection. */
  public void stop() {
    drain.turnOn();
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    connections.close().awaitUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (connections.size() >= limits.maxConnections()) {
        channel.close();
        return;
      }
      connections.add(channel);
      ChannelPipeline pipeline = channel.pipeline();
      tls.get().ifPresent(context -> pipeline.addLast(context.newHandler(channel.alloc())));
      CallerConnection connection = new CallerConnection(limits, handler, heldBytes, drain);
      pipeline.addLast(new FirstByteHandler(connection));
      pipeline.addLast(
          new HttpServerCodec(
              new HttpDecoderConfig()
                  .setMaxInitialLineLength(limits.maxLineBytes())
                  .setMaxHeaderSize(limits.maxHeaderBytes())
                  .setMaxChunkSize(MAX_CHUNK_BYTES)));
      pipeline.addLast(connection);
    }
  }
}
