package org.pollenrock.protocol.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.protocol.generated.Heartbeat;
import org.pollenrock.protocol.generated.PeerFrame;
import org.pollenrock.protocol.generated.SettingsPull;

/** Guards against links that lose messages, outlive a silent peer or do not come back. */
class PeerNetworkTest {
  private static final Duration PATIENCE = Duration.ofSeconds(20);

  private final BlockingQueue<PeerEvent> eventsOfA = new LinkedBlockingQueue<>();
  private final BlockingQueue<PeerEvent> eventsOfB = new LinkedBlockingQueue<>();
  private EventLoopGroup group;
  private PeerNetwork a;
  private PeerNetwork b;

  @BeforeEach
  void start() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    a = network("a", eventsOfA);
    b = network("b", eventsOfB);
    a.start();
    b.start();
  }

  @AfterEach
  void stop() {
    a.stop();
    b.stop();
    group.shutdownGracefully();
  }

  @Test
  void deliversMessagesWithTheIdentityOfTheSender() throws Exception {
    a.connectTo(Set.of(b.address()));
    await(eventsOfA, PeerEvent.LinkUp.class);
    PeerFrame pull =
        PeerFrame.newBuilder().setSettingsPull(SettingsPull.newBuilder().setFrom(7)).build();

    assertThat(a.send("b", pull)).isTrue();

    PeerEvent.Received received = awaitFrame(eventsOfB, pull);
    assertThat(received.peer()).isEqualTo(new PeerIdentity("a", "dc", 1));
  }

  @Test
  void linkToAPeerThatAcceptsAndStaysSilentIsClosed() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      a.connectTo(Set.of(new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort())));
      try (Socket first = silent.accept();
          Socket second = silent.accept()) {
        assertThat(second.isConnected()).isTrue();
        assertThat(first.isConnected()).isTrue();
      }
    }
  }

  @Test
  void garbageOnTheListenerClosesThatConnectionOnly() throws Exception {
    a.connectTo(Set.of(b.address()));
    await(eventsOfA, PeerEvent.LinkUp.class);

    try (Socket socket = new Socket(b.address().getAddress(), b.address().getPort())) {
      OutputStream output = socket.getOutputStream();
      output.write(new byte[] {0, 0, 0, 3, 1, 2, 3});
      output.flush();
      socket.setSoTimeout((int) PATIENCE.toMillis());
      socket.getInputStream().readAllBytes();
    }

    assertThat(a.linked()).containsExactly("b");
  }

  @Test
  void linkComesBackAfterThePeerRestarted() throws Exception {
    InetSocketAddress address = b.address();
    a.connectTo(Set.of(address));
    await(eventsOfA, PeerEvent.LinkUp.class);

    b.stop();
    await(eventsOfA, PeerEvent.LinkDown.class);
    b = network("b", address, 2, eventsOfB);
    b.start();

    assertThat(await(eventsOfA, PeerEvent.LinkUp.class).peer().incarnation()).isEqualTo(2);
  }

  private PeerNetwork network(String name, BlockingQueue<PeerEvent> events) {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return network(name, any, 1, events);
  }

  private PeerNetwork network(
      String name, InetSocketAddress address, long incarnation, BlockingQueue<PeerEvent> events) {
    return new PeerNetwork(
        group,
        new PeerIdentity(name, "dc", incarnation),
        address,
        PeerLinkSettings.of(Duration.ofMillis(100)),
        new PeerTls.Off(),
        new Random(5),
        Heartbeat::getDefaultInstance,
        events::add);
  }

  private static <T extends PeerEvent> T await(BlockingQueue<PeerEvent> events, Class<T> type)
      throws InterruptedException {
    while (true) {
      PeerEvent event = events.poll(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
      assertThat(event).as("event of type %s", type.getSimpleName()).isNotNull();
      if (type.isInstance(event)) {
        return type.cast(event);
      }
    }
  }

  private static PeerEvent.Received awaitFrame(BlockingQueue<PeerEvent> events, PeerFrame frame)
      throws InterruptedException {
    while (true) {
      PeerEvent.Received received = await(events, PeerEvent.Received.class);
      if (received.frame().equals(frame)) {
        return received;
      }
    }
  }
}
