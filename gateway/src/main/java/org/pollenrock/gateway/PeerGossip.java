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
  private static final long GATHER_MILLIS_PER_PEER = 10;

  /**
   * Least time for which news is gathered, in milliseconds; about that of reading a long prompt.
   */
  private static final long MIN_GATHER_MILLIS = 100;

  /**
   * Most instances that tell each other everything; in larger fleets those of a data centre do,
   * since every datagram costs the processor time of half a request.
   */
  private static final int MAX_TOLD = 8;

  /**
   * Time for which news is gathered for each instance that is told only where prefixes are kept, in
   * milliseconds; such news is of use for seconds.
   */
  private static final long DISTANT_GATHER_MILLIS_PER_PEER = 25;

  /** Facts in one datagram, so that it stays below a usual packet's size. */
  private static final int MAX_FACTS = 60;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String dataCentre;
  private final Fleet fleet;
  private final PrefixDirectory directory;
  private final PrefixStoreView store;
  private final EventLog log;
  private List<InetSocketAddress> peers = List.of();
  private List<InetSocketAddress> neighbours = List.of();
  private List<InetSocketAddress> distant = List.of();
  private Set<InetAddress> known = Set.of();
  private Channel channel;
  private final Map<Backend, OutcomeTally> tallies = new HashMap<>();
  private final WorkNews work = new WorkNews();
  private FleetNews.Builder pending = FleetNews.newBuilder();
  private FleetNews.Builder pendingFar = FleetNews.newBuilder();
  private boolean scheduled;
  private boolean scheduledFar;

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
    this.store = store;
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
  void peers(List<Peer> all) {
    List<Peer> others = new ArrayList<>(all);
    others.removeIf(peer -> peer.address().equals(address));
    peers = addresses(others);
    if (others.size() > MAX_TOLD) {
      others.removeIf(peer -> !peer.dataCentre().equals(dataCentre));
    }
    neighbours = addresses(others);
    distant = peers.stream().filter(peer -> !neighbours.contains(peer)).toList();
    known = new HashSet<>();
    peers.forEach(peer -> known.add(peer.getAddress()));
  }

  /** Whether this instance is told of the work of all others. */
  boolean hearsAll() {
    return neighbours.size() == peers.size();
  }

  /** A server has read shared prefixes. */
  void read(List<Long> prefixes, Backend backend) {
    for (long prefix : prefixes) {
      PrefixRead read = PrefixRead.newBuilder().setPrefix(prefix).setServer(backend.seed()).build();
      if (!neighbours.isEmpty()) {
        pending.addReads(read);
      }
      if (!distant.isEmpty()) {
        pendingFar.addReads(read);
      }
    }
    schedule();
    scheduleFar();
  }

  /** The store keeps a prefix. */
  void stored(long key) {
    if (!neighbours.isEmpty()) {
      pending.addStored(key);
    }
    if (!distant.isEmpty()) {
      pendingFar.addStored(key);
    }
    schedule();
    scheduleFar();
  }

  /** An engine is about to load weights. */
  void loading(Backend backend) {
    EngineLoading loading = EngineLoading.newBuilder().setServer(backend.seed()).build();
    send(FleetNews.newBuilder().addLoading(loading), peers);
  }

  /** An engine has newer weights. */
  void weights(Backend backend, String model, long version) {
    EngineWeights weights =
        EngineWeights.newBuilder()
            .setServer(backend.seed())
            .setModel(model)
            .setVersion(version)
            .build();
    send(FleetNews.newBuilder().addWeights(weights), peers);
  }

  /** A server does not answer. */
  void missing(Backend backend) {
    send(FleetNews.newBuilder().addMissing(backend.seed()), neighbours);
  }

  /** A server that was missing answers again. */
  void returned(Backend backend) {
    send(FleetNews.newBuilder().addReturned(backend.seed()), neighbours);
  }

  /** A request is on its way to a server. */
  void working(Backend backend) {
    if (!neighbours.isEmpty() && work.started(backend)) {
      schedule();
    }
  }

  /** A request at a server ended. */
  void outcome(Backend backend, boolean success) {
    if (neighbours.isEmpty()) {
      return;
    }
    tallies.computeIfAbsent(backend, server -> new OutcomeTally()).add(success);
    schedule();
  }

  private static List<InetSocketAddress> addresses(List<Peer> peers) {
    return peers.stream().map(Peer::address).toList();
  }

  private void schedule() {
    int facts = pending.getReadsCount() + pending.getStoredCount() + tallies.size();
    if (facts >= MAX_FACTS) {
      flush();
    } else if (!scheduled && (facts > 0 || work.pending())) {
      scheduled = true;
      long gather = Math.max(MIN_GATHER_MILLIS, GATHER_MILLIS_PER_PEER * neighbours.size());
      loop.schedule(this::flush, gather, TimeUnit.MILLISECONDS);
    }
  }

  private void scheduleFar() {
    int facts = pendingFar.getReadsCount() + pendingFar.getStoredCount();
    if (facts >= MAX_FACTS) {
      flushFar();
    } else if (!scheduledFar && facts > 0) {
      scheduledFar = true;
      loop.schedule(
          this::flushFar, DISTANT_GATHER_MILLIS_PER_PEER * distant.size(), TimeUnit.MILLISECONDS);
    }
  }

  private void flushFar() {
    scheduledFar = false;
    FleetNews.Builder news = pendingFar;
    pendingFar = FleetNews.newBuilder();
    send(news, distant);
  }

  private void flush() {
    scheduled = false;
    tallies.forEach((backend, tally) -> pending.addOutcomes(tally.news(backend)));
    tallies.clear();
    pending.addAllWork(work.take());
    FleetNews.Builder news = pending;
    pending = FleetNews.newBuilder();
    send(news, neighbours);
    schedule();
  }

  private void send(FleetNews.Builder news, List<InetSocketAddress> to) {
    byte[] bytes = news.setDataCentre(dataCentre).build().toByteArray();
    for (InetSocketAddress peer : to) {
      channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
    }
    channel.flush();
  }

  private void take(FleetNews news, InetAddress sender) {
    long now = System.nanoTime();
    for (ServerWork told : news.getWorkList()) {
      fleet
          .findBySeed(told.getServer())
          .ifPresent(
              backend ->
                  backend.applyPeerWork(
                      sender.hashCode(), told.getRequests(), told.getUnreadTokens(), now));
    }
    if (news.getDataCentre().equals(dataCentre)) {
      takeFromNeighbour(news, now);
    }
    for (PrefixRead read : news.getReadsList()) {
      fleet
          .findBySeed(read.getServer())
          .ifPresent(backend -> directory.recordPeerRead(read.getPrefix(), backend, now));
    }
    news.getStoredList().forEach(store::markStored);
    for (EngineLoading loading : news.getLoadingList()) {
      fleet.findBySeed(loading.getServer()).ifPresent(backend -> backend.recordLoading(now));
    }
    for (EngineWeights weights : news.getWeightsList()) {
      fleet
          .findBySeed(weights.getServer())
          .ifPresent(
              backend -> backend.recordWeightsVersion(weights.getModel(), weights.getVersion()));
    }
  }

  /** Reachability and failures hold for instances on the same network only. */
  private void takeFromNeighbour(FleetNews news, long now) {
    for (long server : news.getMissingList()) {
      fleet.findBySeed(server).ifPresent(backend -> backend.applyPeerMissing(now));
    }
    for (long server : news.getReturnedList()) {
      fleet.findBySeed(server).ifPresent(Backend::markReachable);
    }
    for (ServerOutcomes outcomes : news.getOutcomesList()) {
      fleet
          .findBySeed(outcomes.getServer())
          .ifPresent(
              backend ->
                  backend.applyPeerOutcomes(outcomes.getSuccesses(), outcomes.getFailures(), now));
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      if (!known.contains(packet.sender().getAddress())) {
        return;
      }
      try {
        take(
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
