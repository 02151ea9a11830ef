package org.pollenrock.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Binds listening TCP sockets. */
final class ListenSocket {
  private ListenSocket() {}

  /**
   * Binds a listening socket to an address.
   *
   * @param loop event loop of the socket and its connections
   * @param address the address
   * @param backlog maximum number of connections that wait to be accepted
   * @param accepted initializes the channel of each accepted connection
   * @return the channel of the bound socket
   */
  static Channel bind(
      EventLoop loop, InetSocketAddress address, int backlog, Consumer<Channel> accepted)
      throws InterruptedException {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, backlog)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel child) {
                accepted.accept(child);
              }
            })
        .bind(address)
        .sync()
        .channel();
  }
}
