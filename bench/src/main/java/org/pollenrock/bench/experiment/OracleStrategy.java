package org.pollenrock.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.bench.cluster.StandinCluster;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.placement.Candidate;
import org.pollenrock.core.placement.CandidateOrigin;
import org.pollenrock.core.placement.CostTerms;
import org.pollenrock.core.placement.CustomPlacementStrategy;
import org.pollenrock.core.placement.EligibleServer;
import org.pollenrock.core.placement.PlacementContext;
import org.pollenrock.core.placement.PlacementRequest;
import org.pollenrock.standin.engine.EngineStandin;

/**
 * Upper bound: reads the true cache and queue of every engine at the moment of the decision.
 *
 * <p>Misses are weighted like in the product, so that the two differ by knowledge alone.
 */
final class OracleStrategy implements CustomPlacementStrategy {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, EngineStandin> engines = new HashMap<>();

  OracleStrategy(StandinCluster cluster) {
    cluster.engines().forEach(node -> engines.put(node.name(), node.server()));
  }

  @Override
  public List<Candidate> rank(PlacementContext context) {
    List<Candidate> candidates = new ArrayList<>();
    for (EligibleServer server : context.eligible().all()) {
      candidates.add(candidate(context, server));
    }
    candidates.sort(Comparator.comparingDouble(candidate -> candidate.cost().totalNanos()));
    return candidates;
  }

  private Candidate candidate(PlacementContext context, EligibleServer server) {
    PlacementRequest request = context.request();
    EngineStandin engine = engines.get(server.server().value());
    List<String> keys =
        context.lookup(server.weights()).chain().keys().stream().map(BlockKey::toString).toList();
    double cached =
        Math.min(
            engine.expectedLeading(keys) * request.tokensPerBlock(), request.promptTokens() - 1);
    double missing = request.promptTokens() - cached;
    double rate = engine.settings().prefillTokensPerSecond();
    double prefill = missing / rate * NANOS_PER_SECOND;
    double queue = engine.queueTokens() / rate * NANOS_PER_SECOND;
    double eviction = prefill;
    double ttft = prefill + queue + server.roundTripNanos();
    double total =
        request.costWeights().ttftWeight() * ttft + request.costWeights().hitWeight() * eviction;
    CostTerms cost =
        new CostTerms(
            missing, prefill, queue, 0, server.roundTripNanos(), 0, eviction, 0, 0, total);
    return new Candidate(
        server.server(),
        server.load().dataCentre(),
        server.load().incarnation(),
        server.weights(),
        CandidateOrigin.ELIGIBLE,
        cached,
        cost,
        Optional.empty());
  }
}
