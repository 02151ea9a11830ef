package org.pollenrock.ctl.command;

import java.net.URI;

/** Turns addresses on the command line into URLs. */
final class Urls {
  private Urls() {}

  /** Adds the scheme to an address that has none. */
  static URI parse(String address) {
    URI url = URI.create(address.contains("://") ? address : "http://" + address);
    if (url.getHost() == null) {
      throw new IllegalArgumentException("'" + address + "' is not an address");
    }
    return url;
  }
}
