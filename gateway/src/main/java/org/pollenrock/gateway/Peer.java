package org.pollenrock.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.pollenrock.core.model.InstanceId;

/**
 * Address and data centre of an instance of the gateway.
 *
 * @param address address at which the instance receives gossip messages
 * @param dataCentre data centre of the instance; empty when it did not report one
 */
public record Peer(InetSocketAddress address, String dataCentre) {
  /** Returns the identity of the instance. */
  InstanceId id() {
    return id(address.getAddress());
  }

  /** Returns the identity of the instance at an IP address. */
  static InstanceId id(InetAddress address) {
    return new InstanceId(address.getHostAddress());
  }
}
