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
 * @param store store of shared prefixes
 * @param callers reads what callers say
 * @param servers reads and writes what is said to servers
 * @param links connections to servers
 * @param log the log
 * @param metrics counters and histograms
 * @param memory bytes held for exchanges
 * @param queuedExchanges exchanges that wait for a server
 * @param news news to other instances
 * @param presence which servers are missing
 * @param stopping whether no more requests are taken
 */
record ExchangeScope(
    EventLoop loop,
    ActiveConfig configs,
    Fleet fleet,
    Dispatcher dispatcher,
    ServerSelector selector,
    PrefixStoreView store,
    CallerProtocol callers,
    ServerProtocol servers,
    ServerLinks links,
    EventLog log,
    GatewayMetrics metrics,
    HeldMemory memory,
    QueuedExchanges queuedExchanges,
    PeerGossip news,
    ServerPresence presence,
    BooleanSupplier stopping) {}
