package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Shares the time of the event loop among connections whose sockets hold more bytes than one read
 * takes, so that servers that send without end do not delay all other work.
 *
 * <p>In one turn of the loop such connections are read for a limited time. Those that have more
 * bytes are paused then and read again in the next turns, in the order in which they were paused.
 */
final class ReadShare {
  /** Time of one turn of the loop after which connections with more bytes are paused. */
  private static final long TURN_NANOS = 10_000_000L;

  /** Paused connection, and the time that its last read took. */
  private record Paused(HttpConnection connection, long readNanos) {}

  private final EventLoop loop;
  private final Deque<Paused> pausedConnections = new ArrayDeque<>();
  private long spentNanos;
  private boolean turnEndScheduled;

  ReadShare(EventLoop loop) {
    this.loop = loop;
  }

  /** Records a read that left bytes in the socket, and pauses the connection if others are due. */
  void recordPartialRead(HttpConnection connection, long readNanos) {
    spentNanos += readNanos;
    if (spentNanos > TURN_NANOS || !pausedConnections.isEmpty()) {
      connection.setPaused(true);
      pausedConnections.add(new Paused(connection, readNanos));
    }
    scheduleTurnEnd();
  }

  private void scheduleTurnEnd() {
    if (!turnEndScheduled) {
      turnEndScheduled = true;
      NextTurn.run(loop, this::endTurn);
    }
  }

  private void endTurn() {
    turnEndScheduled = false;
    spentNanos = 0;
    long expectedNanos = 0;
    while (!pausedConnections.isEmpty() && expectedNanos < TURN_NANOS) {
      Paused paused = pausedConnections.poll();
      expectedNanos += paused.readNanos();
      paused.connection().setPaused(false);
    }
    if (!pausedConnections.isEmpty()) {
      scheduleTurnEnd();
    }
  }
}
