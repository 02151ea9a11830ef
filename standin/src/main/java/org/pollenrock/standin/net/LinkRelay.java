package org.pollenrock.standin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Forwards the bytes of TCP connections after a delay; it can be cut, or silenced for good. */
public final class LinkRelay {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final EventLoopGroup group;
  private final Supplier<String> target;
  private volatile Duration delay;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong lostReads = new AtomicLong();
  private volatile boolean cut;
  private volatile boolean answersCut;
  private volatile long silencedBeforeNanos = System.nanoTime() - 1;
  private Channel listener;

  /**
   * Makes a relay; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param target IP number and port of the other end, asked for at each connection
   * @param delay one-way delay of the bytes
   */
  public LinkRelay(EventLoopGroup group, Supplier<String> target, Duration delay) {
    this.group = group;
    this.target = target;
    this.delay = delay;
  }

  /** Begins to listen on loopback. */
  public void start() {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .syncUninterruptibly()
            .channel();
  }

  /** Stops listening and closes every connection. */
  public void stop() {
    listener.close().syncUninterruptibly();
    channels.close();
  }

  /**
   * Address of the near end.
   *
   * @return IP number and port
   */
  public String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Cuts or restores the link: while cut, bytes are dropped and new connections get no answer.
   *
   * @param on true to cut
   */
  public void cut(boolean on) {
    cut = on;
  }

  /**
   * Cuts or restores one direction: while cut, what the far end sends is dropped.
   *
   * @param on true to cut
   */
  public void cutAnswers(boolean on) {
    answersCut = on;
  }

  /**
   * Sets the delay of the bytes that arrive from now on.
   *
   * @param oneWay one-way delay
   */
  public void delay(Duration oneWay) {
    delay = oneWay;
  }

  /** Closes the connections that are open now. */
  public void reset() {
    channels.close();
  }

  /** Drops the bytes of the connections that are open now, for good; new ones work. */
  public void silenceConnections() {
    silencedBeforeNanos = System.nanoTime();
  }

  /**
   * How often bytes were dropped.
   *
   * @return number of dropped reads since the start
   */
  public long lostReads() {
    return lostReads.get();
  }

  private void accept(SocketChannel near) {
    channels.add(near);
    Link link = new Link(System.nanoTime(), new AtomicBoolean());
    String[] parts = target.get().split(":");
    new Bootstrap()
        .group(near.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(new Forwarder(near, link, true))
        .connect(parts[0], Integer.parseInt(parts[1]))
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                near.close();
                return;
              }
              channels.add(connected.channel());
              near.pipeline().addLast(new Forwarder(connected.channel(), link, false));
              near.config().setAutoRead(true);
            });
  }

  /** Both directions of one forwarded connection. */
  private record Link(long openedNanos, AtomicBoolean broken) {}

  /** What is to be passed on, and when. */
  private record Delayed(long dueNanos, Runnable action) {}

  /** Passes what arrives on one connection to another, in order. */
  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final Link link;
    private final boolean answers;
    private long dueNanos = Long.MIN_VALUE;
    private final Deque<Delayed> delayed = new ArrayDeque<>();

    private Forwarder(Channel other, Link link, boolean answers) {
      this.other = other;
      this.link = link;
      this.answers = answers;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (dropped()) {
        // TCP never delivers bytes behind lost ones, so nothing more may pass in either direction.
        link.broken.set(true);
        lostReads.incrementAndGet();
        ReferenceCountUtil.release(message);
        return;
      }
      afterDelay(context, () -> other.writeAndFlush(message));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!dropped()) {
        afterDelay(context, other::close);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    private boolean dropped() {
      return cut
          || answers && answersCut
          || link.broken.get()
          || link.openedNanos - silencedBeforeNanos < 0;
    }

    private void afterDelay(ChannelHandlerContext context, Runnable action) {
      long now = System.nanoTime();
      // A shorter delay must not let bytes overtake those before them.
      dueNanos = Math.max(dueNanos, now + delay.toNanos());
      if (delayed.isEmpty() && dueNanos == now) {
        action.run();
        return;
      }
      delayed.add(new Delayed(dueNanos, action));
      context.channel().eventLoop().schedule(this::passDue, dueNanos - now, TimeUnit.NANOSECONDS);
    }

    private void passDue() {
      long now = System.nanoTime();
      while (!delayed.isEmpty() && delayed.peek().dueNanos() - now <= 0) {
        delayed.poll().action().run();
      }
    }
  }
}
