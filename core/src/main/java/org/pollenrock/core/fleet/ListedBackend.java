package org.pollenrock.core.fleet;

import java.util.Map;

/**
 * Entry of one incarnation of a backend server in the server list.
 *
 * @param id identifier of the server, unchanged by a restart
 * @param startMillis Unix time of this incarnation's start in milliseconds; 0 if the entry does not
 *     state it
 * @param softwareVersion version of the server's software, which is not that of the weights
 * @param service service that the server belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre of the server
 * @param slots number of requests that the server runs concurrently; 0 if unknown
 * @param ready whether the server accepts new requests; false while it drains
 * @param weightsVersions versions of the weights that the server serves, keyed by model; empty for
 *     a plain server
 */
public record ListedBackend(
    String id,
    long startMillis,
    String softwareVersion,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean ready,
    Map<String, Long> weightsVersions) {
  /** Makes an immutable copy of the weights versions. */
  public ListedBackend {
    weightsVersions = Map.copyOf(weightsVersions);
  }

  /**
   * Returns the address of the server as {@code host:port}.
   *
   * @return the address
   */
  public String address() {
    return host + ":" + port;
  }
}
