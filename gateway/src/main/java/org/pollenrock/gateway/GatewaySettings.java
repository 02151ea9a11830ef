package org.pollenrock.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.pollenrock.core.dispatch.RetryAllowanceSettings;
import org.pollenrock.core.dispatch.SelectorSettings;

/**
 * Settings of one instance's gateway.
 *
 * @param callerAddress address for callers
 * @param readinessAddress address at which the balancer asks for readiness
 * @param operatorAddress address of metrics and state; empty when they are not served
 * @param gossipAddress address at which other instances tell their news
 * @param selector bounds of the choice of a server
 * @param retryAllowance retry budget of each service over all instances
 * @param weightsBindingNanos time after the naming of weights from which older ones are not used
 * @param maxHeldBodyBytes bytes of request bodies that are held at once
 */
public record GatewaySettings(
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    Optional<InetSocketAddress> operatorAddress,
    InetSocketAddress gossipAddress,
    SelectorSettings selector,
    RetryAllowanceSettings retryAllowance,
    long weightsBindingNanos,
    long maxHeldBodyBytes) {}
