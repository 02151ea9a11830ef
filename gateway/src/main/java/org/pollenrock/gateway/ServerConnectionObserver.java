package org.pollenrock.gateway;

import java.net.InetSocketAddress;

/** Counts connections to backend servers, and counts and logs bytes that they send unrequested. */
record ServerConnectionObserver(GatewayMetrics metrics, EventLog log)
    implements ConnectionPool.Observer {
  @Override
  public void connectFinished(boolean success) {
    metrics.recordConnect(success);
  }

  @Override
  public void strayBytesReceived(InetSocketAddress address) {
    metrics.recordStrayBytes();
    logStrayBytes(log, address);
  }

  static void logStrayBytes(EventLog log, InetSocketAddress address) {
    log.line("stray_bytes").with("address", address.toString()).write();
  }
}
