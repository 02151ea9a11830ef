package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.response.HeadCheck;

/** Tests that connections on which bytes arrive without end take turns. */
class ReadShareTest {
  private static final long LONG_READ_NANOS = 6_000_000;

  private final EmbeddedChannel loop = new EmbeddedChannel();
  private final ReadShare share = new ReadShare(loop.eventLoop());
  private final ConnectionPool pool =
      new ConnectionPool(
          loop.eventLoop(),
          new InetSocketAddress("127.0.0.1", 80),
          100,
          share,
          address -> {},
          new HeadCheck(List.of()));

  // Guards against an event loop that reads all faulty connections in each of its turns.
  @Test
  void connectionsThatUseUpATurnAreReadInLaterTurns() {
    loop.freezeTime();
    List<EmbeddedChannel> channels = Stream.generate(EmbeddedChannel::new).limit(5).toList();
    List<HttpConnection> connections =
        channels.stream().map(channel -> new HttpConnection(pool)).toList();
    for (int i = 0; i < channels.size(); i++) {
      channels.get(i).pipeline().addLast(connections.get(i));
      share.recordPartialRead(connections.get(i), LONG_READ_NANOS);
    }
    assertThat(reading(channels)).containsExactly(true, false, false, false, false);
    runNextTurn();
    assertThat(reading(channels)).containsExactly(true, true, true, false, false);
    // While others wait, a connection is read once in a turn, however short the read is.
    share.recordPartialRead(connections.get(1), 1);
    assertThat(reading(channels)).containsExactly(true, false, true, false, false);
    runNextTurn();
    assertThat(reading(channels)).containsExactly(true, false, true, true, true);
    runNextTurn();
    assertThat(reading(channels)).containsOnly(true);
  }

  /** Lets a turn of the loop pass, at a later reading of the clock than the one before. */
  private void runNextTurn() {
    loop.advanceTimeBy(1, TimeUnit.NANOSECONDS);
    loop.runScheduledPendingTasks();
  }

  private static List<Boolean> reading(List<EmbeddedChannel> channels) {
    return channels.stream().map(channel -> channel.config().isAutoRead()).toList();
  }
}
