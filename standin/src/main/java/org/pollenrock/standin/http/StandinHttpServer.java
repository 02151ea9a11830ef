package org.pollenrock.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** HTTP/1.1 server on loopback whose open connections can be silenced or closed. */
public final class StandinHttpServer {
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("standin.silent");

  private final EventLoopGroup group;
  private final StandinHandler handler;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;
  private int port;

  /**
   * Makes a server; it listens once started.
   *
   * @param group event loops for its sockets, owned by the caller
   * @param handler answers the requests
   */
  public StandinHttpServer(EventLoopGroup group, StandinHandler handler) {
    this.group = group;
    this.handler = handler;
  }

  /** Listens on loopback; a restart reuses the port of the first start. */
  public synchronized void start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer());
    listener =
        bootstrap
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .syncUninterruptibly()
            .channel();
    port = ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops listening and closes every connection. */
  public synchronized void stop() {
    if (listener == null) {
      return;
    }
    listener.close().syncUninterruptibly();
    listener = null;
    connections.close();
  }

  /**
   * Address of the listener.
   *
   * @return IP number and port, as in {@code 127.0.0.1:8080}
   */
  public synchronized String address() {
    return "127.0.0.1:" + port;
  }

  /** Drops all traffic of the connections that are open now, without closing them. */
  public void silenceConnections() {
    connections.forEach(channel -> channel.attr(SILENT).set(true));
  }

  /** Closes the connections that are open now. */
  public void closeConnections() {
    connections.close();
  }

  private static boolean silent(ChannelHandlerContext context) {
    return Boolean.TRUE.equals(context.channel().attr(SILENT).get());
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      connections.add(channel);
      channel
          .pipeline()
          .addLast(new SilenceHandler())
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new RequestHandler());
    }
  }

  /** Discards bytes in both directions on a silenced connection. */
  private static final class SilenceHandler extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (silent(context)) {
        ReferenceCountUtil.release(message);
        return;
      }
      context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (silent(context)) {
        ReferenceCountUtil.release(message);
        promise.setSuccess();
        return;
      }
      context.write(message, promise);
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      StandinExchange exchange = new StandinExchange(context.channel(), request);
      handler.handle(StandinRequest.of(request), exchange);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
