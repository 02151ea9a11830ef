package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.response.HeadCheck;

/** Connection pools of the backend servers, one for each incarnation of a server. */
final class ServerConnectionPools {
  /** Maximum time to open a connection; allows for several round trips between zones. */
  static final int CONNECT_TIMEOUT_MILLIS = 350;

  private final EventLoop loop;
  private final ConnectionPool.Observer observer;
  private final HeadCheck headCheck;
  private final ReadShare readShare;
  private final Map<Backend, ConnectionPool> pools = new HashMap<>();

  ServerConnectionPools(EventLoop loop, ConnectionPool.Observer observer, HeadCheck headCheck) {
    this.loop = loop;
    this.observer = observer;
    this.headCheck = headCheck;
    this.readShare = new ReadShare(loop);
  }

  /** Returns the connection pool of a server. */
  ConnectionPool poolFor(Backend backend) {
    return pools.computeIfAbsent(
        backend,
        server ->
            new ConnectionPool(
                loop, address(server), CONNECT_TIMEOUT_MILLIS, readShare, observer, headCheck));
  }

  /** Returns the address that requests to a server go to. */
  static InetSocketAddress address(Backend server) {
    return new InetSocketAddress(server.entry().host(), server.entry().port());
  }

  /**
   * Closes idle connections that their servers are likely to close soon, and all idle connections
   * to servers that are not known any more.
   */
  void sweep(Collection<Backend> known) {
    List<Backend> removed = new ArrayList<>(pools.keySet());
    removed.removeAll(new HashSet<>(known));
    for (Backend backend : removed) {
      pools.get(backend).closeIdle();
      if (backend.inFlightCount() == 0) {
        pools.remove(backend);
      }
    }
    pools.values().forEach(ConnectionPool::sweep);
  }
}
