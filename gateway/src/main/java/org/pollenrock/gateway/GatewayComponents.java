package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.ServerSelector;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.route.ActiveConfig;

/**
 * Components of the gateway that all exchanges share.
 *
 * @param loop event loop that all components run on
 * @param configs configuration in force
 * @param fleet known backend servers
 * @param dispatcher admits requests and assigns them to servers
 * @param selector selects servers for requests
 * @param prefixStore known contents of the store of shared prefixes
 * @param callerProtocol decodes the metadata of requests of callers
 * @param serverProtocol encodes and decodes the metadata exchanged with servers
 * @param connectionPools connection pools of the servers
 * @param log the event log
 * @param metrics counters and histograms
 * @param responseMemory limit on the bytes of responses in memory
 * @param queuedExchanges exchanges that wait for a server
 * @param gossip gossip with the other instances
 * @param reachability detects which servers are missing
 * @param rateLimits request rates that servers have named
 * @param loadReports records the load that servers report
 * @param serverSpeeds measures the speed of servers
 * @param quotas quotas of customers
 * @param streamOrigins software versions at which streams have begun
 * @param serverGate keeps sends from servers that want none
 * @param loopMonitor delays work while the event loop is late
 * @param refusingRequests whether new requests are refused
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
    BodyMemory responseMemory,
    QueuedExchanges queuedExchanges,
    PeerGossip gossip,
    ReachabilityMonitor reachability,
    RateLimitTask rateLimits,
    LoadReports loadReports,
    ServerSpeedTask serverSpeeds,
    QuotaTask quotas,
    StreamOriginTask streamOrigins,
    ServerGate serverGate,
    LoopMonitor loopMonitor,
    BooleanSupplier refusingRequests) {}
