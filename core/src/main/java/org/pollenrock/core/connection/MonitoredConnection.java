package org.pollenrock.core.connection;

/** One connection as its monitor knows it. */
final class MonitoredConnection {
  private final ConnectionId id;
  private final long createdAt;
  private ConnectionState state = ConnectionState.IDLE;
  private long lastReceivedAt;
  private long progressAt;
  private long receiveDeadlineNanos;
  private long betweenNanos;
  private boolean answering;
  private boolean sending;
  private long lastSentAt;

  MonitoredConnection(ConnectionId id, long nowNanos) {
    this.id = id;
    this.createdAt = nowNanos;
    this.lastReceivedAt = nowNanos;
  }

  ConnectionId id() {
    return id;
  }

  ConnectionState state() {
    return state;
  }

  long createdAt() {
    return createdAt;
  }

  /** A connection that was just established counts as one that just answered. */
  long lastReceivedAt() {
    return lastReceivedAt;
  }

  void begin(long firstNanos, long nextNanos, long nowNanos) {
    state = ConnectionState.BUSY;
    answering = false;
    progressAt = nowNanos;
    receiveDeadlineNanos = firstNanos;
    betweenNanos = nextNanos;
  }

  void received(long nowNanos) {
    lastReceivedAt = nowNanos;
    answering = true;
    progressAt = nowNanos;
    receiveDeadlineNanos = betweenNanos;
  }

  void writeWaits(long nowNanos) {
    if (!sending) {
      sending = true;
      lastSentAt = nowNanos;
    }
  }

  void writeProgressed(boolean drained, long nowNanos) {
    if (sending && !answering) {
      progressAt = nowNanos;
    }
    sending = !drained;
    lastSentAt = nowNanos;
  }

  boolean sending() {
    return sending;
  }

  void finish() {
    state = ConnectionState.IDLE;
  }

  void suspect() {
    state = ConnectionState.SUSPECT;
  }

  void close() {
    state = ConnectionState.CLOSED;
  }

  /**
   * Before its first byte the peer cannot be expected to answer a request that is still being sent.
   * After it, own writes prove nothing: a peer may take data and no longer send any.
   */
  boolean receiveSilent(long nowNanos) {
    return state == ConnectionState.BUSY
        && (answering || !sending)
        && nowNanos - progressAt > receiveDeadlineNanos;
  }

  boolean sendSilent(long deadlineNanos, long nowNanos) {
    return sending && nowNanos - lastSentAt > deadlineNanos;
  }
}
