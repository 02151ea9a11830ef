package org.pollenrock.router.decision;

import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.placement.PlacementResult;

/** Where a request goes. */
public sealed interface Choice {
  /**
   * The chosen server.
   *
   * @return its name
   */
  BackendServerId server();

  /**
   * The chosen server as the peer of an error.
   *
   * @return the peer
   */
  Peer peer();

  /**
   * An engine.
   *
   * @param engine the engine
   * @param placement identity, weights version and block keys that the choice relied on
   */
  record Engine(EngineAddress engine, PlacementResult.Chosen placement) implements Choice {
    @Override
    public BackendServerId server() {
      return engine.id();
    }

    @Override
    public Peer peer() {
      return engine.peer();
    }
  }

  /**
   * A plain server.
   *
   * @param server its name
   * @param address where it listens
   */
  record Plain(BackendServerId server, HostPort address) implements Choice {
    @Override
    public Peer peer() {
      return new Peer(Peer.Kind.PLAIN_SERVICE, server.value());
    }
  }
}
