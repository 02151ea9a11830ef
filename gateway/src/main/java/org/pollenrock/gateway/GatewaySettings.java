package org.pollenrock.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.pollenrock.core.dispatch.RetryAllowanceSettings;
import org.pollenrock.core.dispatch.SelectorSettings;
import org.pollenrock.core.limits.QuotaMargins;

/**
 * Settings of one instance's gateway.
 *
 * @param callerAddress address that callers connect to
 * @param readinessAddress address at which a load balancer queries readiness
 * @param operatorAddress address that serves metrics and state to operators; empty when they are
 *     not served
 * @param gossipAddress address that receives gossip messages of other instances
 * @param selector limits and costs of the selection of a server
 * @param retryAllowance retry budget of each service, shared by all instances
 * @param quotaMargins by how much all instances together may exceed the quota of a customer
 * @param weightsBindingNanos time after a new target version of weights was set from which servers
 *     with older versions get no requests
 * @param maxHeldBodyBytes maximum total size of the request bodies held in memory
 * @param maxHeldResponseBytes maximum total size of the responses of servers held in memory
 */
public record GatewaySettings(
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    Optional<InetSocketAddress> operatorAddress,
    InetSocketAddress gossipAddress,
    SelectorSettings selector,
    RetryAllowanceSettings retryAllowance,
    QuotaMargins quotaMargins,
    long weightsBindingNanos,
    long maxHeldBodyBytes,
    long maxHeldResponseBytes) {}
