package org.pollenrock.protocol.link;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenrock.protocol.generated.Heartbeat;
import org.pollenrock.protocol.generated.PeerFrame;

/** One connection to a peer: greeting, heartbeats, and closing when it goes silent. */
final class PeerLinkHandler extends SimpleChannelInboundHandler<PeerFrame> {
  private final PeerIdentity self;
  private final boolean opened;
  private final Supplier<Heartbeat> heartbeat;
  private final Consumer<PeerEvent> events;
  private final PeerChannels channels;
  private PeerIdentity peer;

  PeerLinkHandler(
      PeerIdentity self,
      boolean opened,
      Supplier<Heartbeat> heartbeat,
      Consumer<PeerEvent> events,
      PeerChannels channels) {
    this.self = self;
    this.opened = opened;
    this.heartbeat = heartbeat;
    this.events = events;
    this.channels = channels;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    context.writeAndFlush(PeerFrame.newBuilder().setHello(self.toHello()).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    if (frame.hasHello()) {
      greet(context, frame);
      return;
    }
    if (peer == null) {
      context.close();
      return;
    }
    if (frame.hasHeartbeat() && !opened) {
      sendHeartbeat(context);
    }
    events.accept(new PeerEvent.Received(peer, frame));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (opened && peer != null && channels.remove(peer, context.channel())) {
      events.accept(new PeerEvent.LinkDown(peer));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      context.fireUserEventTriggered(event);
      return;
    }
    if (idle.state() == IdleState.READER_IDLE) {
      context.close();
      return;
    }
    beatWhenOpened(context);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  private void greet(ChannelHandlerContext context, PeerFrame frame) {
    boolean known = peer != null;
    boolean sameVersion = frame.getHello().getProtocolVersion() == PeerIdentity.PROTOCOL_VERSION;
    PeerIdentity greeted = PeerIdentity.of(frame.getHello());
    if (known || !sameVersion || greeted.instance().equals(self.instance())) {
      context.close();
      return;
    }
    peer = greeted;
    if (!opened) {
      return;
    }
    channels.add(peer, context.channel());
    events.accept(new PeerEvent.LinkUp(peer));
    sendHeartbeat(context);
  }

  private void beatWhenOpened(ChannelHandlerContext context) {
    if (opened && peer != null) {
      sendHeartbeat(context);
    }
  }

  private void sendHeartbeat(ChannelHandlerContext context) {
    context
        .writeAndFlush(PeerFrame.newBuilder().setHeartbeat(heartbeat.get()).build())
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }
}
