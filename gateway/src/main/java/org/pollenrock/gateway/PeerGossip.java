package org.pollenrock.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.protocol.generated.EngineLoading;
import org.pollenrock.protocol.generated.EngineWeights;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.PrefixRead;
import org.pollenrock.protocol.generated.ServerOutcomes;
import org.pollenrock.protocol.generated.ServerWork;

/**
 * Tells other instances what this one learned about servers, and takes what they tell.
 *
 * <p>News goes out in datagrams that may be lost. Nothing that must hold depends on it: it only
 * saves requests that would be refused and prompts that would be read twice.
 */
public final class PeerGossip {
  /**
   * Time for which news is gathered into one datagram for each peer, in milliseconds, so that an
   * instance sends at most a hundred datagrams a second, however many it tells.
   */
  private static final long BATCH_MILLIS_PER_PEER = 10;

  /**
   * Least time for which news is gathered, in milliseconds; about that of reading a long prompt.
   */
  private static final long MIN_BATCH_MILLIS = 100;

  /**
   * Most instances that tell each other everything; in larger fleets those of a data centre do,
   * since every datagram costs the processor time of half a request.
   */
  private static final int MAX_FULL_GOSSIP_PEERS = 8;

  /**
   * Time for which news is gathered for each instance that is told only where prefixes are kept, in
   * milliseconds; such news is of use for seconds.
   */
  private static final long PREFIX_BATCH_MILLIS_PER_PEER = 25;

  /** Facts in one datagram, so that it stays below a usual packet's size. */
  private static final int MAX_BATCH_ENTRIES = 60;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String dataCentre;
  private final Fleet fleet;
  private final PrefixDirectory directory;
  private final PrefixStoreView prefixStore;
  private final EventLog log;
  private List<InetSocketAddress> peers = List.of();
  private List<InetSocketAddress> fullGossipPeers = List.of();
  private List<InetSocketAddress> prefixGossipPeers = List.of();
  private Set<InetAddress> peerAddresses = Set.of();
  private Channel channel;
  private final Map<Backend, OutcomeCounts> outcomeCounts = new HashMap<>();
  private final WorkGossip workGossip = new WorkGossip();
  private FleetNews.Builder pending = FleetNews.newBuilder();
  private FleetNews.Builder pendingPrefixes = FleetNews.newBuilder();
  private boolean flushScheduled;
  private boolean prefixFlushScheduled;

  PeerGossip(
      EventLoop loop,
      InetSocketAddress address,
      String dataCentre,
      Fleet fleet,
      PrefixDirectory directory,
      PrefixStoreView store,
      EventLog log) {
    this.loop = loop;
    this.address = address;
    this.dataCentre = dataCentre;
    this.fleet = fleet;
    this.directory = directory;
    this.prefixStore = store;
    this.log = log;
  }

  void start() throws InterruptedException {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(address)
            .sync()
            .channel();
  }

  void stop() {
    channel.close();
  }

  /**
   * Sets the instances to tell.
   *
   * @param all every instance; this instance itself is left out
   */
  void updatePeers(List<Peer> all) {
    List<Peer> others = new ArrayList<>(all);
    others.removeIf(peer -> peer.address().equals(address));
    peers = addresses(others);
    if (others.size() > MAX_FULL_GOSSIP_PEERS) {
      others.removeIf(peer -> !peer.dataCentre().equals(dataCentre));
    }
    fullGossipPeers = addresses(others);
    prefixGossipPeers = peers.stream().filter(peer -> !fullGossipPeers.contains(peer)).toList();
    peerAddresses = new HashSet<>();
    peers.forEach(peer -> peerAddresses.add(peer.getAddress()));
  }

  /** Whether this instance is told of the work of all others. */
  boolean exchangesWithAllPeers() {
    return fullGossipPeers.size() == peers.size();
  }

  /** A server has read shared prefixes. */
  void announcePrefixRead(List<Long> prefixes, Backend backend) {
    for (long prefix : prefixes) {
      PrefixRead read =
          PrefixRead.newBuilder().setPrefix(prefix).setServer(backend.idHash()).build();
      if (!fullGossipPeers.isEmpty()) {
        pending.addReads(read);
      }
      if (!prefixGossipPeers.isEmpty()) {
        pendingPrefixes.addReads(read);
      }
    }
    scheduleFlush();
    schedulePrefixFlush();
  }

  /** The store keeps a prefix. */
  void announcePrefixStored(long key) {
    if (!fullGossipPeers.isEmpty()) {
      pending.addStored(key);
    }
    if (!prefixGossipPeers.isEmpty()) {
      pendingPrefixes.addStored(key);
    }
    scheduleFlush();
    schedulePrefixFlush();
  }

  /** An engine is about to load weights. */
  void announceLoading(Backend backend) {
    EngineLoading loading = EngineLoading.newBuilder().setServer(backend.idHash()).build();
    send(FleetNews.newBuilder().addLoading(loading), peers);
  }

  /** An engine has newer weights. */
  void announceWeightsVersion(Backend backend, String model, long version) {
    EngineWeights weights =
        EngineWeights.newBuilder()
            .setServer(backend.idHash())
            .setModel(model)
            .setVersion(version)
            .build();
    send(FleetNews.newBuilder().addWeights(weights), peers);
  }

  /** A server does not answer. */
  void announceMissing(Backend backend) {
    send(FleetNews.newBuilder().addMissing(backend.idHash()), fullGossipPeers);
  }

  /** A server that was missing answers again. */
  void announceReturned(Backend backend) {
    send(FleetNews.newBuilder().addReturned(backend.idHash()), fullGossipPeers);
  }

  /** A request is on its way to a server. */
  void announceWork(Backend backend) {
    if (!fullGossipPeers.isEmpty() && workGossip.trackIfChanged(backend)) {
      scheduleFlush();
    }
  }

  /** A request at a server ended. */
  void announceOutcome(Backend backend, boolean success) {
    if (fullGossipPeers.isEmpty()) {
      return;
    }
    outcomeCounts.computeIfAbsent(backend, server -> new OutcomeCounts()).add(success);
    scheduleFlush();
  }

  private static List<InetSocketAddress> addresses(List<Peer> peers) {
    return peers.stream().map(Peer::address).toList();
  }

  private void scheduleFlush() {
    int facts = pending.getReadsCount() + pending.getStoredCount() + outcomeCounts.size();
    if (facts >= MAX_BATCH_ENTRIES) {
      flush();
    } else if (!flushScheduled && (facts > 0 || workGossip.isPending())) {
      flushScheduled = true;
      long gather = Math.max(MIN_BATCH_MILLIS, BATCH_MILLIS_PER_PEER * fullGossipPeers.size());
      loop.schedule(this::flush, gather, TimeUnit.MILLISECONDS);
    }
  }

  private void schedulePrefixFlush() {
    int facts = pendingPrefixes.getReadsCount() + pendingPrefixes.getStoredCount();
    if (facts >= MAX_BATCH_ENTRIES) {
      flushPrefixes();
    } else if (!prefixFlushScheduled && facts > 0) {
      prefixFlushScheduled = true;
      loop.schedule(
          this::flushPrefixes,
          PREFIX_BATCH_MILLIS_PER_PEER * prefixGossipPeers.size(),
          TimeUnit.MILLISECONDS);
    }
  }

  private void flushPrefixes() {
    prefixFlushScheduled = false;
    FleetNews.Builder news = pendingPrefixes;
    pendingPrefixes = FleetNews.newBuilder();
    send(news, prefixGossipPeers);
  }

  private void flush() {
    flushScheduled = false;
    outcomeCounts.forEach((backend, tally) -> pending.addOutcomes(tally.toMessage(backend)));
    outcomeCounts.clear();
    pending.addAllWork(workGossip.takeDueMessages());
    FleetNews.Builder news = pending;
    pending = FleetNews.newBuilder();
    send(news, fullGossipPeers);
    scheduleFlush();
  }

  private void send(FleetNews.Builder news, List<InetSocketAddress> to) {
    byte[] bytes = news.setDataCentre(dataCentre).build().toByteArray();
    for (InetSocketAddress peer : to) {
      channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
    }
    channel.flush();
  }

  private void apply(FleetNews news, InetAddress sender) {
    long now = System.nanoTime();
    for (ServerWork told : news.getWorkList()) {
      fleet
          .findByIdHash(told.getServer())
          .ifPresent(
              backend ->
                  backend.applyPeerWork(
                      sender.hashCode(), told.getRequests(), told.getUnreadTokens(), now));
    }
    if (news.getDataCentre().equals(dataCentre)) {
      applyFromSameDataCentre(news, now);
    }
    for (PrefixRead read : news.getReadsList()) {
      fleet
          .findByIdHash(read.getServer())
          .ifPresent(backend -> directory.recordPeerRead(read.getPrefix(), backend, now));
    }
    news.getStoredList().forEach(prefixStore::markStored);
    for (EngineLoading loading : news.getLoadingList()) {
      fleet.findByIdHash(loading.getServer()).ifPresent(backend -> backend.recordLoading(now));
    }
    for (EngineWeights weights : news.getWeightsList()) {
      fleet
          .findByIdHash(weights.getServer())
          .ifPresent(
              backend -> backend.recordWeightsVersion(weights.getModel(), weights.getVersion()));
    }
  }

  /** Reachability and failures hold for instances on the same network only. */
  private void applyFromSameDataCentre(FleetNews news, long now) {
    for (long server : news.getMissingList()) {
      fleet.findByIdHash(server).ifPresent(backend -> backend.applyPeerMissing(now));
    }
    for (long server : news.getReturnedList()) {
      fleet.findByIdHash(server).ifPresent(Backend::markReachable);
    }
    for (ServerOutcomes outcomes : news.getOutcomesList()) {
      fleet
          .findByIdHash(outcomes.getServer())
          .ifPresent(
              backend ->
                  backend.applyPeerOutcomes(outcomes.getSuccesses(), outcomes.getFailures(), now));
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      if (!peerAddresses.contains(packet.sender().getAddress())) {
        return;
      }
      try {
        apply(
            FleetNews.parseFrom(ByteBufUtil.getBytes(packet.content())),
            packet.sender().getAddress());
      } catch (InvalidProtocolBufferException e) {
        log.line("news_unreadable")
            .with("peer", packet.sender().toString())
            .with("cause", e.getMessage())
            .write();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A peer that is gone shows as a refused datagram; the next one is sent all the same.
      log.line("news_failed", EventLog.Importance.ROUTINE).with("cause", cause.toString()).write();
    }
  }
}
