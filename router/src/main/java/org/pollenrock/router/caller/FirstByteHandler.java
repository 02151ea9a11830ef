package org.pollenrock.router.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells the connection that bytes arrived, before they are decoded. */
final class FirstByteHandler extends ChannelInboundHandlerAdapter {
  private final CallerConnection connection;

  FirstByteHandler(CallerConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    connection.bytesArrived();
    ctx.fireChannelRead(message);
  }
}
