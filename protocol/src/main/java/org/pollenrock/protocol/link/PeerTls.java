package org.pollenrock.protocol.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.ssl.SslContext;
import java.util.function.Supplier;

/** Encryption of the links between routers. */
public sealed interface PeerTls {
  /** Links are not encrypted. */
  record Off() implements PeerTls {}

  /**
   * Links use TLS; a context is asked for at each connection, so that a reload applies to new ones.
   *
   * @param server context of the accepting side
   * @param client context of the opening side
   */
  record On(Supplier<SslContext> server, Supplier<SslContext> client) implements PeerTls {}

  /**
   * Adds TLS to the pipeline of a new connection.
   *
   * @param pipeline the pipeline
   * @param channel its channel
   * @param opened whether this side opened the connection
   */
  default void addTo(ChannelPipeline pipeline, Channel channel, boolean opened) {
    switch (this) {
      case Off off -> {
        return;
      }
      case On on -> {
        SslContext context = opened ? on.client().get() : on.server().get();
        pipeline.addLast(context.newHandler(channel.alloc()));
      }
    }
  }
}
