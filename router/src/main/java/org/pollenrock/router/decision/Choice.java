package org.pollenrock.router.decision;

import java.util.List;
import java.util.Optional;
import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/** Where a request goes. */
public sealed interface Choice {
  /**
   * The chosen server.
   *
   * @return its name
   */
  BackendServerId server();

  /**
   * An engine.
   *
   * @param engine the engine
   * @param incarnation incarnation that the choice relied on
   * @param weights weights version that the choice relied on
   * @param blockKeys keys of the prompt's blocks under these weights
   */
  record Engine(
      EngineAddress engine,
      Optional<Incarnation> incarnation,
      Optional<WeightsVersion> weights,
      List<BlockKey> blockKeys)
      implements Choice {
    @Override
    public BackendServerId server() {
      return engine.id();
    }
  }

  /**
   * A plain server.
   *
   * @param server its name
   * @param address where it listens
   */
  record Plain(BackendServerId server, HostPort address) implements Choice {}
}
