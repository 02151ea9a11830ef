package org.pollenrock.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.pollenrock.protocol.codec.PeerFrameCodec;
import org.pollenrock.protocol.generated.Heartbeat;
import org.pollenrock.protocol.generated.PeerFrame;

/** Listens for peers, keeps a link to each known address, and sends and receives messages. */
public final class PeerNetwork {
  private final EventLoopGroup group;
  private final PeerIdentity self;
  private final InetSocketAddress listenAddress;
  private final PeerLinkSettings settings;
  private final PeerTls tls;
  private final RandomGenerator random;
  private final Supplier<Heartbeat> heartbeat;
  private final Consumer<PeerEvent> events;
  private final PeerChannels channels = new PeerChannels();
  private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<InetSocketAddress, PeerConnector> connectors = new HashMap<>();
  private Channel listener;

  /**
   * Makes the network of one router; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param self identity sent to peers
   * @param listenAddress address to listen on; port 0 lets the system choose
   * @param settings timing
   * @param tls encryption of the links
   * @param random source of jitter; used on one event loop at a time
   * @param heartbeat makes the next heartbeat; called on event loops
   * @param events told of links and messages, on event loops
   */
  public PeerNetwork(
      EventLoopGroup group,
      PeerIdentity self,
      InetSocketAddress listenAddress,
      PeerLinkSettings settings,
      PeerTls tls,
      RandomGenerator random,
      Supplier<Heartbeat> heartbeat,
      Consumer<PeerEvent> events) {
    this.group = group;
    this.self = self;
    this.listenAddress = listenAddress;
    this.settings = settings;
    this.tls = tls;
    this.random = random;
    this.heartbeat = heartbeat;
    this.events = events;
  }

  /** Begins to listen. */
  public synchronized void start() {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new LinkInitializer(false))
            .bind(listenAddress)
            .syncUninterruptibly()
            .channel();
  }

  /** Closes every link and stops listening. */
  public synchronized void stop() {
    connectors.values().forEach(PeerConnector::stop);
    connectors.clear();
    if (listener != null) {
      listener.close().syncUninterruptibly();
      listener = null;
    }
    accepted.close();
  }

  /**
   * Address on which this router listens.
   *
   * @return the bound address
   * @throws IllegalStateException before {@link #start()}
   */
  public synchronized InetSocketAddress address() {
    if (listener == null) {
      throw new IllegalStateException("not started");
    }
    return (InetSocketAddress) listener.localAddress();
  }

  /**
   * Keeps links to exactly these addresses; links to others are closed.
   *
   * @param addresses addresses of peers
   */
  public synchronized void connectTo(Set<InetSocketAddress> addresses) {
    Set<InetSocketAddress> surplus = new HashSet<>(connectors.keySet());
    surplus.removeAll(addresses);
    surplus.forEach(address -> connectors.remove(address).stop());
    addresses.forEach(address -> connectors.computeIfAbsent(address, this::startConnector));
  }

  /**
   * Sends a message to one peer.
   *
   * @param instance name of the peer
   * @param frame the message
   * @return false when there is no link or its buffer is full; the message is then dropped
   */
  public boolean send(String instance, PeerFrame frame) {
    return channels.send(instance, frame);
  }

  /**
   * Sends a message to every peer with a link.
   *
   * @param frame the message
   */
  public void broadcast(PeerFrame frame) {
    channels.instances().forEach(instance -> channels.send(instance, frame));
  }

  /**
   * Peers to which a link is open.
   *
   * @return names of instances
   */
  public Set<String> linked() {
    return channels.instances();
  }

  private PeerConnector startConnector(InetSocketAddress address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
            .handler(new LinkInitializer(true));
    PeerConnector connector = new PeerConnector(group.next(), bootstrap, address, settings, random);
    connector.start();
    return connector;
  }

  private final class LinkInitializer extends ChannelInitializer<SocketChannel> {
    private final boolean opened;

    private LinkInitializer(boolean opened) {
      this.opened = opened;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      if (!opened) {
        accepted.add(channel);
      }
      ChannelPipeline pipeline = channel.pipeline();
      tls.addTo(pipeline, channel, opened);
      pipeline.addLast(
          new IdleStateHandler(
              settings.deadAfter().toNanos(),
              settings.heartbeat().toNanos(),
              0,
              TimeUnit.NANOSECONDS));
      PeerFrameCodec.addTo(pipeline);
      pipeline.addLast(new PeerLinkHandler(self, opened, heartbeat, events, channels));
    }
  }
}
