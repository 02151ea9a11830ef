package org.pollenrock.core.connection;

/** State and progress times of one connection in a {@link ConnectionMonitor}. */
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

  /** Returns the time of the last received data; initially the time of connection setup. */
  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Starts an exchange with a timeout for the first byte and one between later bytes. */
  void startExchange(long firstByteTimeoutNanos, long newInterByteTimeoutNanos, long nowNanos) {
    state = ConnectionState.BUSY;
    responseStarted = false;
    lastProgressNanos = nowNanos;
    receiveTimeoutNanos = firstByteTimeoutNanos;
    interByteTimeoutNanos = newInterByteTimeoutNanos;
  }

  void recordReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    responseStarted = true;
    lastProgressNanos = nowNanos;
    receiveTimeoutNanos = interByteTimeoutNanos;
  }

  /** Records that written data is pending; repeated calls keep the time of the first one. */
  void recordWriteBlocked(long nowNanos) {
    if (!writePending) {
      writePending = true;
      lastWriteProgressNanos = nowNanos;
    }
  }

  /**
   * Records that the peer accepted pending data. Before the first byte of the response, this also
   * restarts the receive timeout.
   */
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
   * Returns whether the receive timeout of the exchange has passed without progress. Before the
   * first byte of the response, the timeout applies only while no written data is pending, because
   * the peer cannot respond to a request that is still being sent. After the first byte, write
   * progress does not count: the peer may accept data and no longer send any.
   */
  boolean isReceiveSilent(long nowNanos) {
    return state == ConnectionState.BUSY
        && (responseStarted || !writePending)
        && nowNanos - lastProgressNanos > receiveTimeoutNanos;
  }

  /** Returns whether written data has been pending for longer than the deadline. */
  boolean isSendSilent(long deadlineNanos, long nowNanos) {
    return writePending && nowNanos - lastWriteProgressNanos > deadlineNanos;
  }
}
