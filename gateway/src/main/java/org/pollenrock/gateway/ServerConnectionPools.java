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

/** Connections to the incarnations of backend servers. */
final class ServerConnectionPools {
  /** Longest time to open a connection, in milliseconds; several round trips between zones. */
  private static final int CONNECT_TIMEOUT_MILLIS = 350;

  private final EventLoop loop;
  private final ConnectionPool.Observer observer;
  private final Map<Backend, ConnectionPool> pools = new HashMap<>();

  ServerConnectionPools(EventLoop loop, ConnectionPool.Observer observer) {
    this.loop = loop;
    this.observer = observer;
  }

  ConnectionPool poolFor(Backend backend) {
    return pools.computeIfAbsent(
        backend,
        server -> new ConnectionPool(loop, address(server), CONNECT_TIMEOUT_MILLIS, observer));
  }

  static InetSocketAddress address(Backend server) {
    return new InetSocketAddress(server.entry().host(), server.entry().port());
  }

  /** Closes idle connections that servers are likely to close soon, and those to gone servers. */
  void sweep(Collection<Backend> known) {
    List<Backend> gone = new ArrayList<>(pools.keySet());
    gone.removeAll(new HashSet<>(known));
    for (Backend backend : gone) {
      pools.get(backend).closeIdle();
      if (backend.inFlight() == 0) {
        pools.remove(backend);
      }
    }
    pools.values().forEach(ConnectionPool::sweep);
  }
}
