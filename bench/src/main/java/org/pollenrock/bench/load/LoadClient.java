package org.pollenrock.bench.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Opens connections that share a few event loops. */
public final class LoadClient implements AutoCloseable {
  private static final int IO_THREADS = 2;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          IO_THREADS, new DefaultThreadFactory("load", true), NioIoHandler.newFactory());

  /**
   * Opens a connection and waits until it is open.
   *
   * @param address IP number and port
   * @return the connection
   */
  public LoadConnection connect(String address) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    LoadConnection connection = new LoadConnection(address);
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpClientCodec()).addLast(connection);
              }
            })
        .connect(target)
        .syncUninterruptibly();
    return connection;
  }

  /** Closes every connection. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
