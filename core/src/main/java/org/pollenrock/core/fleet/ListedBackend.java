package org.pollenrock.core.fleet;

import java.util.Map;

/**
 * Entry of a backend server in the list of servers.
 *
 * @param id identity of the server
 * @param startMillis Unix time of this incarnation's start in milliseconds; 0 when the entry does
 *     not tell it
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre that it stands in
 * @param slots requests that it runs at once; 0 when unknown
 * @param ready whether it takes new requests; false while it drains
 * @param weightsVersions versions of the weights that it serves, by model; empty for a plain server
 */
public record ListedBackend(
    String id,
    long startMillis,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean ready,
    Map<String, Long> weightsVersions) {
  /** Copies the weights. */
  public ListedBackend {
    weightsVersions = Map.copyOf(weightsVersions);
  }

  /**
   * Address in the usual notation.
   *
   * @return host and port
   */
  public String address() {
    return host + ":" + port;
  }
}
