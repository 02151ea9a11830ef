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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.placement.RendezvousHash;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.protocol.generated.EngineLoading;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.PrefixRead;

/**
 * Exchanges observations about servers with the other instances, by gossip messages.
 *
 * <p>Messages are sent as datagrams, which may be lost. No guarantee depends on them: they only
 * avoid requests that would be refused and prompts that would be read twice. An instance exchanges
 * full gossip with all others of a small fleet, and in a larger fleet with those of its own data
 * centre. All other instances only receive which prefixes are cached where and which weights
 * engines have or load.
 */
public final class PeerGossip {
  /**
   * Time for which full gossip is batched into one datagram, for each peer that receives it. An
   * instance thus sends at most a hundred datagrams a second, independent of the number of peers.
   */
  private static final long BATCH_MILLIS_PER_PEER = 10;

  /**
   * Minimum time for which full gossip is batched; about the time in which an engine reads a long
   * prompt.
   */
  private static final long MIN_BATCH_MILLIS = 100;

  /**
   * Maximum number of other instances that all receive full gossip. In larger fleets only those of
   * the same data centre do, since each datagram costs as much processor time as half a request.
   */
  private static final int MAX_FULL_GOSSIP_PEERS = 8;

  /**
   * Time for which prefix gossip is batched, for each peer that receives only prefix gossip. This
   * information stays useful for seconds.
   */
  private static final long PREFIX_BATCH_MILLIS_PER_PEER = 25;

  /** Maximum number of batched entries, so that a datagram fits into a packet of usual size. */
  private static final int MAX_BATCH_ENTRIES = 60;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String dataCentre;
  private final EventLog log;
  private final LivePeers livePeers;
  private Consumer<InetAddress> unknownSenders = sender -> {};
  private final QuarantineGossip quarantineGossip;
  private final RateLimitTask rateLimits;
  private final FleetNewsApplier newsApplier;
  private final CacheNews cacheNews;
  private final List<NewsPart> newsParts = new ArrayList<>();
  private List<InetSocketAddress> peers = List.of();
  private List<InetSocketAddress> fullGossipPeers = List.of();
  private List<InetSocketAddress> prefixGossipPeers = List.of();
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
      PrefixStoreView prefixStore,
      CrashQuarantine quarantine,
      RateLimitTask rateLimits,
      EventLog log) {
    this.loop = loop;
    this.address = address;
    this.dataCentre = dataCentre;
    this.rateLimits = rateLimits;
    newsApplier = new FleetNewsApplier(dataCentre, fleet, directory, prefixStore, rateLimits);
    cacheNews = new CacheNews(prefixStore);
    addPart(cacheNews);
    this.log = log;
    livePeers = new LivePeers(address, dataCentre);
    quarantine.setTrialRank(this::rank);
    quarantineGossip =
        new QuarantineGossip(loop, quarantine, address.hashCode(), System::nanoTime, this::send);
  }

  /**
   * Returns the gossip about quarantined parts of prompts.
   *
   * @return the gossip
   */
  public QuarantineGossip quarantineGossip() {
    return quarantineGossip;
  }

  /**
   * Returns the gossip about followed caches.
   *
   * @return the gossip
   */
  public CacheNews cacheNews() {
    return cacheNews;
  }

  /**
   * Adds a kind of news that is sent with full gossip.
   *
   * @param part supplies and applies the news
   */
  void addPart(NewsPart part) {
    newsParts.add(part);
  }

  /**
   * Sends a message to one instance, at once.
   *
   * @param message the message
   * @param recipient the instance; nothing is sent if it is not known
   */
  void sendTo(FleetNews.Builder message, InstanceId recipient) {
    send(
        message,
        peers.stream().filter(peer -> Peer.id(peer.getAddress()).equals(recipient)).toList());
  }

  /**
   * Sends a message to all other instances, at once.
   *
   * @param message the message
   */
  void sendToAll(FleetNews.Builder message) {
    send(message, peers);
  }

  /** Binds the gossip address and starts to receive messages. */
  void start() throws InterruptedException {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(address)
            .sync()
            .channel();
    quarantineGossip.start();
  }

  /** Closes the socket. */
  void stop() {
    channel.close();
  }

  /**
   * Replaces the list of instances to exchange gossip with.
   *
   * @param instances all instances; this instance itself is ignored
   */
  void updatePeers(List<Peer> instances) {
    List<Peer> others = new ArrayList<>(instances);
    others.removeIf(peer -> peer.address().equals(address));
    List<InetSocketAddress> added = addresses(others);
    added.removeAll(peers);
    peers = addresses(others);
    quarantineGossip.updatePeers(peers);
    if (others.size() > MAX_FULL_GOSSIP_PEERS) {
      others.removeIf(peer -> !peer.dataCentre().equals(dataCentre));
    }
    fullGossipPeers = addresses(others);
    prefixGossipPeers = peers.stream().filter(peer -> !fullGossipPeers.contains(peer)).toList();
    livePeers.replace(instances, System.nanoTime());
    // An instance learns from the first message of another one that it has to look for it.
    send(FleetNews.newBuilder(), added);
  }

  /**
   * Sets what is called with the sender of a message that is none of the known instances.
   *
   * @param listener receives the address of the sender
   */
  public void onUnknownSender(Consumer<InetAddress> listener) {
    unknownSenders = listener;
  }

  /** Returns whether this instance exchanges full gossip, including work, with all others. */
  boolean exchangesWithAllPeers() {
    return fullGossipPeers.size() == peers.size();
  }

  /**
   * Announces that a server has read shared parts of prompts and caches them.
   *
   * @param prefixes hashes of the parts
   * @param backend the server
   */
  public void announcePrefixRead(List<Long> prefixes, Backend backend) {
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

  /**
   * Announces that a server has evicted a shared part from its cache.
   *
   * @param part hash of the part
   * @param backend the server
   */
  public void announceEviction(long part, Backend backend) {
    PrefixRead evicted =
        PrefixRead.newBuilder().setPrefix(part).setServer(backend.idHash()).build();
    if (!fullGossipPeers.isEmpty()) {
      pending.addEvicted(evicted);
    }
    if (!prefixGossipPeers.isEmpty()) {
      pendingPrefixes.addEvicted(evicted);
    }
    scheduleFlush();
    schedulePrefixFlush();
  }

  /**
   * Sets the servers whose cache events this instance follows, to be announced repeatedly.
   *
   * @param servers the servers
   */
  public void setFollowedServers(List<Backend> servers) {
    cacheNews.setFollowedServers(servers);
  }

  /**
   * Sends what is due about followed caches, if no batch is to be sent soon. Without it, instances
   * without requests would take the followers for lost.
   */
  public void announceFollowedCaches() {
    long now = System.nanoTime();
    if (!flushScheduled && !fullGossipPeers.isEmpty() && cacheNews.isDue(now)) {
      flush();
    }
    long prefixBatchNanos = PREFIX_BATCH_MILLIS_PER_PEER * prefixGossipPeers.size() * 1_000_000;
    if (!prefixFlushScheduled && cacheNews.isDueToAll(now, prefixBatchNanos)) {
      flushPrefixes();
    }
  }

  /**
   * Returns whether the list of instances has been read, without which none of them knows its share
   * of the work.
   *
   * @return whether it has been read
   */
  public boolean knowsInstances() {
    return livePeers.isKnown();
  }

  /**
   * Returns the instances that have sent gossip recently, including this instance.
   *
   * @return identities of the instances
   */
  public List<InstanceId> liveInstances() {
    return livePeers.liveInstances(System.nanoTime());
  }

  /**
   * Returns the instances of a data centre that have sent gossip recently, including this instance.
   * If there are none, returns those of all data centres.
   *
   * @param preferredDataCentre name of the data centre
   * @return identities of the instances
   */
  public List<InstanceId> liveInstances(String preferredDataCentre) {
    return livePeers.liveInstances(preferredDataCentre, System.nanoTime());
  }

  /**
   * Returns the identity of this instance among {@link #liveInstances}.
   *
   * @return the identity
   */
  public InstanceId ownId() {
    return livePeers.ownId();
  }

  /** Returns the number of live instances before this one in an order on which all agree. */
  private int rank() {
    long own = RendezvousHash.hash(ownId().value());
    return (int)
        liveInstances().stream().filter(other -> RendezvousHash.hash(other.value()) < own).count();
  }

  /** Announces that the prefix store has a prefix. */
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

  /** Announces that an engine loads weights, for a time that is not known. */
  void announceLoading(Backend backend) {
    EngineLoading loading = EngineLoading.newBuilder().setServer(backend.idHash()).build();
    send(FleetNews.newBuilder().addLoading(loading), peers);
  }

  /** Announces the request rates of servers that the other instances have to know now. */
  void announceRates(long nowNanos) {
    rateLimits.takeNews(nowNanos).ifPresent(message -> send(message, peers));
  }

  /** Announces that a server does not respond. */
  void announceMissing(Backend backend) {
    send(FleetNews.newBuilder().addMissing(backend.idHash()), fullGossipPeers);
  }

  /** Announces that this instance probes a missing server and will announce the result. */
  void announceProbe(Backend backend) {
    send(FleetNews.newBuilder().addProbing(backend.idHash()), fullGossipPeers);
  }

  /** Announces that a missing server responds again. */
  void announceReturned(Backend backend) {
    send(FleetNews.newBuilder().addReturned(backend.idHash()), fullGossipPeers);
  }

  /** Announces the work at a server, after a request was assigned to it, if it changed enough. */
  void announceWork(Backend backend) {
    if (!fullGossipPeers.isEmpty() && workGossip.trackIfChanged(backend)) {
      scheduleFlush();
    }
  }

  /** Announces the outcome of a request at a server, in the next batch. */
  void announceOutcome(Backend backend, boolean success) {
    if (fullGossipPeers.isEmpty()) {
      return;
    }
    outcomeCounts.computeIfAbsent(backend, server -> new OutcomeCounts()).add(success);
    scheduleFlush();
  }

  private static List<InetSocketAddress> addresses(List<Peer> peers) {
    return new ArrayList<>(peers.stream().map(Peer::address).toList());
  }

  private void scheduleFlush() {
    int entryCount = entryCount(pending) + outcomeCounts.size();
    if (entryCount >= MAX_BATCH_ENTRIES) {
      flush();
    } else if (!flushScheduled && (entryCount > 0 || workGossip.hasTrackedServers())) {
      flushScheduled = true;
      long batchMillis = Math.max(MIN_BATCH_MILLIS, BATCH_MILLIS_PER_PEER * fullGossipPeers.size());
      loop.schedule(this::flush, batchMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void schedulePrefixFlush() {
    int entryCount = entryCount(pendingPrefixes);
    if (entryCount >= MAX_BATCH_ENTRIES) {
      flushPrefixes();
    } else if (!prefixFlushScheduled && entryCount > 0) {
      prefixFlushScheduled = true;
      loop.schedule(
          this::flushPrefixes,
          PREFIX_BATCH_MILLIS_PER_PEER * prefixGossipPeers.size(),
          TimeUnit.MILLISECONDS);
    }
  }

  private static int entryCount(FleetNews.Builder message) {
    return message.getReadsCount() + message.getEvictedCount() + message.getStoredCount();
  }

  private void flushPrefixes() {
    prefixFlushScheduled = false;
    FleetNews.Builder message = pendingPrefixes;
    pendingPrefixes = FleetNews.newBuilder();
    long now = System.nanoTime();
    cacheNews.addNewsToAll(message, now);
    quarantineGossip.addQuarantinedParts(message, now);
    send(message, prefixGossipPeers);
  }

  private void flush() {
    flushScheduled = false;
    outcomeCounts.forEach((backend, counts) -> pending.addOutcomes(counts.toMessage(backend)));
    outcomeCounts.clear();
    pending.addAllWork(workGossip.takeDueMessages());
    FleetNews.Builder message = pending;
    pending = FleetNews.newBuilder();
    long now = System.nanoTime();
    quarantineGossip.addQuarantinedParts(message, now);
    newsParts.forEach(part -> part.addNews(message, now));
    int reports = message.getWorkCount() + message.getOutcomesCount() + message.getFollowedCount();
    reports += message.getCachePositionsCount() + message.getStoreEvictedCount();
    // Work that has not changed is repeated often enough to show that this instance lives.
    if (reports + message.getQuarantinedCount() + message.getWaitingCount() + entryCount(message)
        > 0) {
      send(message, fullGossipPeers);
    }
    scheduleFlush();
  }

  private void send(FleetNews.Builder message, List<InetSocketAddress> recipients) {
    byte[] bytes = message.setDataCentre(dataCentre).build().toByteArray();
    for (InetSocketAddress peer : recipients) {
      channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
    }
    channel.flush();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      InetAddress sender = packet.sender().getAddress();
      if (!livePeers.recordDatagram(sender, System.nanoTime())) {
        rateLimits.recordUnknownInstance();
        unknownSenders.accept(sender);
        return;
      }
      try {
        FleetNews message = FleetNews.parseFrom(ByteBufUtil.getBytes(packet.content()));
        long now = System.nanoTime();
        newsApplier.apply(message, sender, now);
        newsParts.forEach(part -> part.apply(message, Peer.id(sender), now));
        quarantineGossip.apply(message, packet.sender(), now);
      } catch (InvalidProtocolBufferException e) {
        log.line("news_unreadable")
            .with("peer", packet.sender().toString())
            .with("cause", e.getMessage())
            .write();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram to a peer that does not run any more is rejected; sending to all peers goes on.
      log.line("news_failed", EventLog.Importance.ROUTINE).with("cause", cause.toString()).write();
    }
  }
}
