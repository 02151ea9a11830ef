package org.pollenrock.gateway;

import java.net.InetSocketAddress;

/**
 * Address and data centre of an instance of the gateway.
 *
 * @param address address at which the instance receives gossip messages
 * @param dataCentre data centre of the instance; empty when it did not report one
 */
public record Peer(InetSocketAddress address, String dataCentre) {}
