package org.pollenrock.adapters.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.PendingWriteQueue;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

/**
 * Holds each request on a kept connection until the event loop has read what its socket holds.
 *
 * <p>Bytes received before the request belong to none, and close the connection. Read after the
 * request was written, they would be taken as the response to it.
 */
final class RequestGate extends ChannelOutboundHandlerAdapter {
  private PendingWriteQueue held;
  private boolean used;
  private boolean holding;

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    held = new PendingWriteQueue(context);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    holding = false;
    held.removeAndFailAll(new ClosedChannelException());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest && !holding) {
      holding = used;
      used = true;
      if (holding) {
        // A scheduled task runs in the next turn of the loop, behind the reads of that turn.
        context.executor().schedule(() -> release(context), 0, TimeUnit.NANOSECONDS);
      }
    }
    if (holding) {
      held.add(message, promise);
    } else {
      context.write(message, promise);
    }
  }

  @Override
  public void flush(ChannelHandlerContext context) {
    if (!holding) {
      context.flush();
    }
  }

  private void release(ChannelHandlerContext context) {
    if (holding) {
      holding = false;
      held.removeAndWriteAll();
      context.flush();
    }
  }
}
