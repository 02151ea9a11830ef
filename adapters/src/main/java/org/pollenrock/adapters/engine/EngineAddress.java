package org.pollenrock.adapters.engine;

import java.util.Objects;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.model.BackendServerId;

/**
 * An engine and where it listens.
 *
 * @param id name from the instance list
 * @param address where it listens
 */
public record EngineAddress(BackendServerId id, HostPort address) {
  /** Checks that both parts are present. */
  public EngineAddress {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
  }

  /**
   * The engine as the peer of an error.
   *
   * @return the peer
   */
  public Peer peer() {
    return new Peer(Peer.Kind.ENGINE, id.value());
  }
}
