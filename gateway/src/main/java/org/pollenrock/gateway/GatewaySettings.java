package org.pollenrock.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.pollenrock.core.dispatch.RetryAllowanceSettings;
import org.pollenrock.core.dispatch.SelectorSettings;

/**
 * Settings of one instance's gateway.
 *
 * @param callers address for callers
 * @param readiness address at which the balancer asks for readiness
 * @param operators address of metrics and state; empty when they are not served
 * @param peers address at which other instances tell their news
 * @param selector bounds of the choice of a server
 * @param allowance retry budget of each service over all instances
 * @param weightsBindingNanos time after the naming of weights from which older ones are not used
 * @param maxHeldBytes bytes of request bodies that are held at once
 */
public record GatewaySettings(
    InetSocketAddress callers,
    InetSocketAddress readiness,
    Optional<InetSocketAddress> operators,
    InetSocketAddress peers,
    SelectorSettings selector,
    RetryAllowanceSettings allowance,
    long weightsBindingNanos,
    long maxHeldBytes) {}
