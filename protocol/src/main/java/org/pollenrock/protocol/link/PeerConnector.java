package org.pollenrock.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Keeps one outgoing link to one address, with a growing and jittered delay between attempts. */
final class PeerConnector {
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final InetSocketAddress address;
  private final PeerLinkSettings settings;
  private final RandomGenerator random;
  private Duration delay;
  private Channel channel;
  private boolean stopped;

  PeerConnector(
      EventLoop loop,
      Bootstrap bootstrap,
      InetSocketAddress address,
      PeerLinkSettings settings,
      RandomGenerator random) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.address = address;
    this.settings = settings;
    this.random = random;
    this.delay = settings.reconnectBase();
  }

  void start() {
    loop.execute(this::connect);
  }

  void stop() {
    loop.execute(this::close);
  }

  private void close() {
    stopped = true;
    if (channel != null) {
      channel.close();
    }
  }

  private void connect() {
    if (stopped) {
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    connecting.addListener(done -> loop.execute(() -> connected(connecting)));
  }

  private void connected(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      retryLater();
      return;
    }
    channel = connecting.channel();
    if (stopped) {
      channel.close();
      return;
    }
    long connectedNanos = System.nanoTime();
    channel.closeFuture().addListener(done -> loop.execute(() -> closed(connectedNanos)));
  }

  private void closed(long connectedNanos) {
    boolean lasted = System.nanoTime() - connectedNanos > settings.deadAfter().toNanos();
    if (lasted) {
      delay = settings.reconnectBase();
    }
    retryLater();
  }

  private void retryLater() {
    if (stopped) {
      return;
    }
    long jittered = (long) (delay.toNanos() * (0.5 + random.nextDouble()));
    loop.schedule(this::connect, jittered, TimeUnit.NANOSECONDS);
    Duration doubled = delay.multipliedBy(2);
    delay = doubled.compareTo(settings.reconnectMax()) > 0 ? settings.reconnectMax() : doubled;
  }
}
