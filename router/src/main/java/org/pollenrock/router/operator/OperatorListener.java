package org.pollenrock.router.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Supplier;

/** HTTP listener for operators. */
public final class OperatorListener {
  private static final int MAX_REQUEST_BYTES = 64 * 1024;
  private static final int MAX_CONNECTIONS = 256;
  private static final int IDLE_SECONDS = 60;

  private final EventLoopGroup loops;
  private final InetSocketAddress address;
  private final OperatorPages pages;
  private final Supplier<Optional<SslContext>> tls;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel server;

  /**
   * Creates a listener.
   *
   * @param loops event loops
   * @param address where to listen; port 0 for one that the system chooses
   * @param pages what to answer
   * @param tls the TLS context for each new connection, empty for plain TCP
   */
  public OperatorListener(
      EventLoopGroup loops,
      InetSocketAddress address,
      OperatorPages pages,
      Supplier<Optional<SslContext>> tls) {
    this.loops = loops;
    this.address = address;
    this.pages = pages;
    this.tls = tls;
  }

  /**
   * Binds the address.
   *
   * @throws UncheckedIOException when the address cannot be bound
   */
  public void start() {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
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

  /** Closes the listener and its connections. */
  public void stop() {
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    connections.close().awaitUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (connections.size() >= MAX_CONNECTIONS) {
        channel.close();
        return;
      }
      connections.add(channel);
      ChannelPipeline pipeline = channel.pipeline();
      tls.get().ifPresent(context -> pipeline.addLast(context.newHandler(channel.alloc())));
      pipeline.addLast(new ReadTimeoutHandler(IDLE_SECONDS));
      pipeline.addLast(new HttpServerCodec());
      pipeline.addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES));
      pipeline.addLast(new OperatorHandler(pages));
    }
  }
}
