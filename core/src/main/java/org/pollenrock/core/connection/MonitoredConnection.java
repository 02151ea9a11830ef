package org.pollenrock.core.connection;

/** One connection as its monitor knows it. */
final class MonitoredConnection {
  private final ConnectionId id;
  private final long createdNanos;
  private ConnectionState state = ConnectionState.IDLE;
  private long lastReceivedNanos;
  private long lastProgressNanos;
  private long receiveTimeoutNanos;
  private long interByteTimeoutNanos;
  private boolean responseStarted;
  private boolean writePending;
  private long lastWriteProgressNanos;

  MonitoredConnection(ConnectionId id, long nowNanos) {
    this.id = id;
    this.createdNanos = nowNanos;
    this.lastReceivedNanos = nowNanos;
  }

  ConnectionId id() {
    return id;
  }

  ConnectionState state() {
    return state;
  }

  long createdNanos() {
    return createdNanos;
  }

  /** A connection that was just established counts as one that just answered. */
  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  void startExchange(long firstNanos, long nextNanos, long nowNanos) {
    state = ConnectionState.BUSY;
    responseStarted = false;
    lastProgressNanos = nowNanos;
    receiveTimeoutNanos = firstNanos;
    interByteTimeoutNanos = nextNanos;
  }

  void recordReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    responseStarted = true;
    lastProgressNanos = nowNanos;
    receiveTimeoutNanos = interByteTimeoutNanos;
  }

  void recordWriteBlocked(long nowNanos) {
    if (!writePending) {
      writePending = true;
      lastWriteProgressNanos = nowNanos;
    }
  }

  void recordWriteProgress(boolean drained, long nowNanos) {
    if (writePending && !responseStarted) {
      lastProgressNanos = nowNanos;
    }
    writePending = !drained;
    lastWriteProgressNanos = nowNanos;
  }

  boolean isWritePending() {
    return writePending;
  }

  void finishExchange() {
    state = ConnectionState.IDLE;
  }

  void markSuspect() {
    state = ConnectionState.SUSPECT;
  }

  void markClosed() {
    state = ConnectionState.CLOSED;
  }

  /**
   * Before its first byte the peer cannot be expected to answer a request that is still being sent.
   * After it, own writes prove nothing: a peer may take data and no longer send any.
   */
  boolean isReceiveSilent(long nowNanos) {
    return state == ConnectionState.BUSY
        && (responseStarted || !writePending)
        && nowNanos - lastProgressNanos > receiveTimeoutNanos;
  }

  boolean isSendSilent(long deadlineNanos, long nowNanos) {
    return writePending && nowNanos - lastWriteProgressNanos > deadlineNanos;
  }
}
