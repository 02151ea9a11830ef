package org.pollenrock.core.placement;

import java.util.List;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.PrefixChain;

/** Outcome of a placement. */
public sealed interface PlacementResult {
  /**
   * Servers that were considered.
   *
   * @return the candidates, best first; empty when none is suitable
   */
  List<Candidate> candidates();

  /**
   * A server was chosen.
   *
   * @param id identifies the placement in later notifications
   * @param server the server
   * @param incarnation the life that the choice relied on
   * @param weights the weights version that the choice relied on
   * @param chain block keys of the prompt under that version
   * @param request the request that was placed
   * @param expectedCachedTokens prompt tokens that the server is expected to have cached
   * @param newPrefix true when this router had not seen the deepest prefix level recently
   * @param homeCacheUnknown true when the server is the first home of the prefix and this router
   *     did not know what it has cached
   * @param kvImport blocks to import first, when that is faster than computing them
   * @param candidates the servers that were considered, best first
   */
  record Chosen(
      PlacementId id,
      BackendServerId server,
      Incarnation incarnation,
      WeightsVersion weights,
      PrefixChain chain,
      PlacementRequest request,
      int expectedCachedTokens,
      boolean newPrefix,
      boolean homeCacheUnknown,
      Optional<KvImport> kvImport,
      List<Candidate> candidates)
      implements PlacementResult {}

  /**
   * No server is suitable.
   *
   * @param reason why
   */
  record NoServer(NoServerReason reason) implements PlacementResult {
    @Override
    public List<Candidate> candidates() {
      return List.of();
    }
  }
}
