package org.pollenrock.settings;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Names are not accepted: processes reach each other by address.
 *
 * @param host an IPv4 address, or an IPv6 address without brackets
 * @param port 0 to 65,535; 0 lets the system choose a port to listen on
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65_535;
  private static final String BYTE = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";
  private static final Pattern TEXT =
      Pattern.compile(
          "(?:((?:" + BYTE + "\\.){3}" + BYTE + ")|\\[([0-9A-Fa-f:.]{2,45})\\]):(\\d{1,5})");

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when the port is out of range
   */
  public HostPort {
    Objects.requireNonNull(host, "host");
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port " + port);
    }
  }

  /**
   * Reads an address.
   *
   * @param text such as {@code 127.0.0.1:7400} or {@code [::1]:7400}
   * @return the address, or empty when the text is something else
   */
  public static Optional<HostPort> parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(3)) > MAX_PORT) {
      return Optional.empty();
    }
    String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    return Optional.of(new HostPort(host, Integer.parseInt(matcher.group(3))));
  }

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
