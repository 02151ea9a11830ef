package org.pollenrock.core.placement;

import java.util.List;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.PrefixChain;

/** Result of a placement: a chosen server, or the reason why there is none. */
public sealed interface PlacementResult {
  /**
   * Returns the servers that were considered.
   *
   * @return the candidates, best first; empty when no server is eligible
   */
  List<Candidate> candidates();

  /**
   * A server was chosen.
   *
   * @param id identifies the placement in later notifications
   * @param server the chosen server
   * @param incarnation incarnation of the server that the choice relied on
   * @param weights weights version that the choice relied on
   * @param chain block keys of the prompt under this weights version
   * @param request the request that was placed
   * @param expectedCachedTokens prompt tokens that the server is expected to have cached
   * @param newPrefix true when the deepest prefix level was new to this router, which had not seen
   *     it recently
   * @param homeCacheUnknown true when the server is the first home of the prefix and its cache
   *     content was unknown to this router
   * @param kvImport blocks to import before the prefill; present only when importing them is
   *     expected to be faster than computing them
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
   * No server is eligible.
   *
   * @param reason why no server is eligible
   */
  record NoServer(NoServerReason reason) implements PlacementResult {
    @Override
    public List<Candidate> candidates() {
      return List.of();
    }
  }
}
