package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.ServerSelector;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.route.ActiveConfig;

/**
 * What every exchange uses.
 *
 * @param loop event loop that everything runs on
 * @param configs configuration in force
 * @param fleet backend servers
 * @param dispatcher sends requests to servers
 * @param selector tells which servers are avoided
 * @param prefixStore store of shared prefixes
 * @param callerProtocol reads what callers say
 * @param serverProtocol reads and writes what is said to servers
 * @param connectionPools connections to servers
 * @param log the log
 * @param metrics counters and histograms
 * @param bodyMemory bytes held for exchanges
 * @param queuedExchanges exchanges that wait for a server
 * @param gossip news to other instances
 * @param reachability which servers are missing
 * @param refusingRequests whether no more requests are taken
 */
record GatewayComponents(
    EventLoop loop,
    ActiveConfig configs,
    Fleet fleet,
    Dispatcher dispatcher,
    ServerSelector selector,
    PrefixStoreView prefixStore,
    CallerProtocol callerProtocol,
    ServerProtocol serverProtocol,
    ServerConnectionPools connectionPools,
    EventLog log,
    GatewayMetrics metrics,
    BodyMemory bodyMemory,
    QueuedExchanges queuedExchanges,
    PeerGossip gossip,
    ReachabilityMonitor reachability,
    BooleanSupplier refusingRequests) {}
