package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.protocol.generated.FleetNews;

/**
 * Guards against rounds of gossip that tell nothing, each of which costs every receiver as much as
 * half a request, and against work that is not repeated while it lasts.
 */
class WorkGossipRoundTest {
  private static final int TIMEOUT_MILLIS = 30_000;
  private static final int PROMPT_TOKENS = 10_000;

  /** Messages to be received while the work lasts; its repetitions take half a second each. */
  private static final int MESSAGES = 4;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Fleet fleet = new Fleet();

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void everyRoundTellsSomethingWhileWorkLasts() throws Exception {
    fleet.applyEntry(
        new ListedBackend(
            "engine", 1, "v1", "llm", "10.0.0.1", 8000, "dc", 8, true, Map.of("m", 1L)),
        System.nanoTime());
    Backend engine = fleet.all().iterator().next();
    InetSocketAddress own = freeAddress();
    PeerGossip gossip = gossip(own);
    gossip.start();
    try (DatagramSocket peer = new DatagramSocket(new InetSocketAddress("127.0.0.2", 0))) {
      peer.setSoTimeout(TIMEOUT_MILLIS);
      InetSocketAddress peerAddress = (InetSocketAddress) peer.getLocalSocketAddress();
      loop.submit(
              () -> gossip.updatePeers(List.of(new Peer(own, "dc"), new Peer(peerAddress, "dc"))))
          .get();
      // The first message only tells that this instance exists.
      receive(peer);
      loop.execute(
          () -> {
            engine.recordRequestStart(PROMPT_TOKENS, System.nanoTime());
            gossip.announceWork(engine);
          });
      List<FleetNews> messages = new ArrayList<>();
      for (int i = 0; i < MESSAGES; i++) {
        messages.add(receive(peer));
      }
      assertThat(messages)
          .allSatisfy(
              message -> {
                assertThat(message.getWorkCount()).isEqualTo(1);
                assertThat(message.getWork(0).getRequests()).isEqualTo(1);
                assertThat(message.getWork(0).getUnreadTokens()).isEqualTo(PROMPT_TOKENS);
              });
      loop.execute(() -> engine.recordRequestEnd(PROMPT_TOKENS, false));
      FleetNews last = receive(peer);
      while (last.getWorkCount() == 1 && last.getWork(0).getRequests() == 1) {
        last = receive(peer);
      }
      assertThat(last.getWorkCount()).isEqualTo(1);
      assertThat(last.getWork(0).getRequests()).isZero();
    } finally {
      gossip.stop();
    }
  }

  private PeerGossip gossip(InetSocketAddress address) {
    EventLog log = new EventLog(OutputStream.nullOutputStream());
    return new PeerGossip(
        loop,
        address,
        "dc",
        fleet,
        new PrefixDirectory(),
        new PrefixStoreView(),
        new QuarantineTask(log).quarantine(),
        new RateLimitTask(Peer.id(address.getAddress()), fleet, new NoServerProtocol(), log),
        log);
  }

  private static FleetNews receive(DatagramSocket socket) throws Exception {
    DatagramPacket packet = new DatagramPacket(new byte[2048], 2048);
    socket.receive(packet);
    return FleetNews.parser().parseFrom(packet.getData(), 0, packet.getLength());
  }

  private static InetSocketAddress freeAddress() throws Exception {
    try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }
}
