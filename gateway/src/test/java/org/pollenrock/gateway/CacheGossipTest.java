package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.ratelimit.RateNotice;

/**
 * Guards against instances that expect a prefix in a cache whose eviction another instance has
 * seen, against engines that no instance or every instance follows, and against rates of servers
 * that other instances don't learn of.
 */
class CacheGossipTest {
  private static final long TIMEOUT_SECONDS = 30;
  private static final long PART = PrefixDirectory.key("shared@1", "dossier");
  private static final ListedBackend ENGINE =
      new ListedBackend("engine", 1, "v1", "llm", "10.0.0.1", 8000, "dc", 8, true, Map.of("m", 1L));

  /** Gossip of one instance with its own view of the engine. */
  private static final class Instance {
    private final Fleet fleet = new Fleet();
    private final PrefixDirectory directory = new PrefixDirectory();
    private final PeerGossip gossip;
    private final RateLimitTask rateLimits;
    private final Backend engine;

    private Instance(EventLoop loop, InetSocketAddress address) {
      EventLog log = new EventLog(new ByteArrayOutputStream());
      fleet.applyEntry(ENGINE, System.nanoTime());
      engine = fleet.all().iterator().next();
      rateLimits =
          new RateLimitTask(Peer.id(address.getAddress()), fleet, new NoServerProtocol(), log);
      gossip =
          new PeerGossip(
              loop,
              address,
              "dc",
              fleet,
              directory,
              new PrefixStoreView(),
              new QuarantineTask(log).quarantine(),
              rateLimits,
              log);
    }
  }

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private Instance follower;
  private Instance other;

  /** Two loopback addresses, because instances are told apart by their IP address. */
  @BeforeEach
  void startInstances() throws Exception {
    InetSocketAddress first = freeAddress("127.0.0.1");
    InetSocketAddress second = freeAddress("127.0.0.2");
    follower = new Instance(loop, first);
    other = new Instance(loop, second);
    List<Peer> peers = List.of(new Peer(first, "dc"), new Peer(second, "dc"));
    follower.gossip.start();
    other.gossip.start();
    onLoop(
        () -> {
          follower.gossip.updatePeers(peers);
          other.gossip.updatePeers(peers);
          return null;
        });
  }

  @AfterEach
  void stopInstances() {
    follower.gossip.stop();
    other.gossip.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static InetSocketAddress freeAddress(String host) throws Exception {
    try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(host, 0))) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  private <T> T onLoop(Callable<T> call) throws Exception {
    return loop.submit(call).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void await(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!onLoop(condition)) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      Thread.onSpinWait();
    }
  }

  /** An instance that has not heard of a rate would send to the server as before. */
  @Test
  void otherInstanceLearnsOfARateAndOfItsEnd() throws Exception {
    announce(new RateNotice.Limited(2.4));
    await(() -> other.rateLimits.limits().limitedServerCount() == 1);
    assertThat(onLoop(() -> other.rateLimits.limits().maySend(other.engine, System.nanoTime())))
        .isFalse();
    // The end outweighs a limit only if it is newer by the time that a datagram may take.
    await(
        () -> {
          announce(new RateNotice.Unlimited());
          return other.rateLimits.limits().limitedServerCount() == 0;
        });
  }

  private void announce(RateNotice notice) {
    loop.execute(
        () -> {
          follower.rateLimits.recordNotice(follower.engine, notice, System.nanoTime());
          follower.gossip.announceRates(System.nanoTime());
        });
  }

  private boolean otherHoldsPart() {
    return other.directory.holders(PART, System.nanoTime()).contains(other.engine);
  }

  /** Datagrams may be lost, so the announcement is repeated until it arrives. */
  @Test
  void readAndEvictionReachTheOtherInstance() throws Exception {
    await(
        () -> {
          follower.gossip.announcePrefixRead(List.of(PART), follower.engine);
          return otherHoldsPart();
        });
    await(
        () -> {
          follower.gossip.announceEviction(PART, follower.engine);
          return !otherHoldsPart();
        });
  }

  @Test
  void otherInstanceLearnsThatAnEngineIsFollowed() throws Exception {
    assertThat(onLoop(() -> other.directory.isFollowed(other.engine, System.nanoTime()))).isFalse();
    await(
        () -> {
          follower.gossip.setFollowedServers(List.of(follower.engine));
          follower.gossip.announcePrefixRead(List.of(PART), follower.engine);
          return other.directory.isFollowed(other.engine, System.nanoTime());
        });
  }

  @Test
  void instancesOfAnotherDataCentreTakePartOnlyIfItHasNoneOfItsOwn() throws Exception {
    InstanceId self = follower.gossip.ownId();
    InstanceId peer = other.gossip.ownId();
    assertThat(onLoop(() -> follower.gossip.liveInstances("dc")))
        .containsExactlyInAnyOrder(self, peer);
    assertThat(onLoop(() -> follower.gossip.liveInstances("away")))
        .containsExactlyInAnyOrder(self, peer);
    onLoop(
        () -> {
          follower.gossip.updatePeers(
              List.of(new Peer(new InetSocketAddress("127.0.0.3", 9), "away")));
          return null;
        });
    assertThat(onLoop(() -> follower.gossip.liveInstances("away")))
        .containsExactly(new InstanceId("127.0.0.3"));
    assertThat(onLoop(() -> follower.gossip.liveInstances("dc"))).containsExactly(self);
  }
}
