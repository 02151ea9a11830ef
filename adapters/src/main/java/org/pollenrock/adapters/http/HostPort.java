package org.pollenrock.adapters.http;

import java.util.Objects;

/**
 * Address of a peer.
 *
 * @param host an IP address or host name
 * @param port a TCP port
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when the host is blank or the port is out of range
   */
  public HostPort {
    Objects.requireNonNull(host, "host");
    if (host.isBlank() || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("not an address: " + host + ":" + port);
    }
  }

  /**
   * Reads {@code host:port}; an IPv6 address stands in brackets.
   *
   * @param text the address
   * @return the address
   * @throws IllegalArgumentException when the text is not an address
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("not an address: " + text);
    }
    try {
      return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not an address: " + text, e);
    }
  }

  /**
   * URL of a path on this peer.
   *
   * @param pathAndQuery begins with a slash
   * @return an http URL
   */
  public String url(String pathAndQuery) {
    return "http://" + this + pathAndQuery;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
