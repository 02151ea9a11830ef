package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.placement.PlacementFixture.FAR;
import static org.pollenrock.core.placement.PlacementFixture.FIRST_INCARNATION;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.NEAR;
import static org.pollenrock.core.placement.PlacementFixture.SECOND;
import static org.pollenrock.core.placement.PlacementFixture.V1;
import static org.pollenrock.core.placement.PlacementFixture.V2;
import static org.pollenrock.core.placement.PlacementFixture.place;
import static org.pollenrock.core.placement.PlacementFixture.placer;
import static org.pollenrock.core.placement.PlacementFixture.report;
import static org.pollenrock.core.placement.PlacementFixture.reportAll;
import static org.pollenrock.core.placement.PlacementFixture.request;
import static org.pollenrock.core.placement.PlacementFixture.serve;
import static org.pollenrock.core.placement.PlacementFixture.server;
import static org.pollenrock.core.placement.PlacementFixture.servers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.Priority;

class PlacerTest {
  private static final int SERVERS = 13;

  private final Placer placer = placer(1);

  /** Guards against placing a repeated prompt on another server than the one that cached it. */
  @Test
  void repeatedPrefixIsPlacedOnItsHolder() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    PlacementResult.Chosen second = serve(placer, request("c", 1), SECOND);
    assertThat(second.server()).isEqualTo(first.server());
    assertThat(first.expectedCachedTokens()).isZero();
    assertThat(second.expectedCachedTokens()).isGreaterThan(7_000);
    assertThat(second.candidates()).isNotEmpty();
    assertThat(second.candidates().get(0).server()).isEqualTo(second.server());
  }

  /** Guards against waiting in a queue on the holder that costs more than computing the prefix. */
  @Test
  void longQueueOnTheHolderOutweighsItsCache() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    int holderNumber = Integer.parseInt(first.server().value().substring(1));
    placer.applyReport(report(holderNumber, 1, V1, 500_000), MILLI);
    assertThat(place(placer, request("c", 1), 2 * MILLI).server()).isNotEqualTo(first.server());
  }

  /** Guards against relying on an ended incarnation after a message has named the next one. */
  @Test
  void restartedHolderIsNotUsedBeforeItsFirstReport() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    placer.observeIncarnation(first.server(), new Incarnation(2));
    PlacementResult.Chosen second = place(placer, request("c", 1), MILLI);
    assertThat(second.server()).isNotEqualTo(first.server());
    int holderNumber = Integer.parseInt(first.server().value().substring(1));
    placer.applyReport(report(holderNumber, 2, V1, 0), MILLI);
    PlacementResult.Chosen third = place(placer, request("c", 1), MILLI);
    assertThat(third.expectedCachedTokens()).isZero();
    assertThat(third.incarnation())
        .isEqualTo(new Incarnation(third.server().equals(first.server()) ? 2 : 1));
  }

  /** Guards against cache entries from a response of another incarnation or weights version. */
  @Test
  void responseWithAnotherIdentityDoesNotUpdateTheCacheIndex() {
    reportAll(placer, 1, 0, 0);
    PlacementResult.Chosen chosen = place(placer, request("c", 1), 0);
    placer.recordSent(chosen, 0);
    assertThat(placer.recordFirstToken(chosen.id(), FIRST_INCARNATION, V2, 8_000, 0)).isFalse();
    assertThat(place(placer, request("c", 1), 0).expectedCachedTokens()).isZero();
    placer.recordFailure(chosen.id());
    assertThat(placer.inFlightCount()).isZero();
  }

  /** Guards against a resumed stream that is sent to a server with other weights. */
  @Test
  void requiredWeightsAndExclusionsAreRespected() {
    placer.applyReport(report(1, 1, V1, 90_000), 0);
    placer.applyReport(report(2, 1, V2, 0), 0);
    PlacementRequest request = request("c", 1);
    assertThat(place(placer, request.requiring(V1), 0).server()).isEqualTo(server(1));
    assertThat(place(placer, request.requiring(V2), 0).weights()).isEqualTo(V2);
    assertThat(place(placer, request.excluding(Set.of(server(2))), 0).server())
        .isEqualTo(server(1));
    assertThat(placer.place(request.excluding(Set.of(server(1), server(2))), 0))
        .isEqualTo(new PlacementResult.NoServer(NoServerReason.ALL_EXCLUDED));
  }

  /** Guards against blocks of older weights that are counted after a reload and a rollback. */
  @Test
  void reloadDropsTheCacheOfOlderWeights() {
    placer.applyReport(report(1, 1, V1, 0), 0);
    serve(placer, request("c", 1), 0);
    placer.applyReport(report(1, 1, V2, 0), MILLI);
    assertThat(place(placer, request("c", 1), MILLI).expectedCachedTokens()).isZero();
    placer.applyReport(report(1, 1, V1, 0), 2 * MILLI);
    assertThat(place(placer, request("c", 1), 2 * MILLI).expectedCachedTokens()).isZero();
  }

  /**
   * Guards against urgent requests that are not charged for a prefill chunk that they cannot
   * interrupt, and against urgent requests that leave the holder of their prefix because of a queue
   * that they do not wait in.
   */
  @Test
  void urgentRequestWaitsForOneChunkOfALongPrefill() {
    reportAll(placer, 2, 0, 0);
    PlacementRequest urgent = request("c", 1, 2, Priority.URGENT);
    PlacementRequest interactive = request("c", 1, 2, Priority.INTERACTIVE);
    PlacementResult.Chosen home = serve(placer, interactive, 0);
    int homeNumber = Integer.parseInt(home.server().value().substring(1));
    double chunkNanos = 2_048.0 / PlacementFixture.PREFILL_TOKENS_PER_SECOND * SECOND;
    assertThat(costOn(place(placer, urgent, MILLI), home.server()).urgentNanos()).isZero();

    placer.applyReport(report(homeNumber, 1, V1, 1_000), MILLI);
    CostTerms shortQueue = costOn(place(placer, urgent, MILLI), home.server());
    assertThat(shortQueue.urgentNanos()).isBetween(0.4 * chunkNanos, 0.6 * chunkNanos);

    placer.applyReport(report(homeNumber, 1, V1, 60_000), MILLI);
    CostTerms urgentCost = costOn(place(placer, urgent, MILLI), home.server());
    CostTerms interactiveCost = costOn(place(placer, interactive, MILLI), home.server());
    assertThat(urgentCost.urgentNanos()).isCloseTo(chunkNanos, within(1.0));
    assertThat(urgentCost.queueNanos()).isZero();
    assertThat(interactiveCost.urgentNanos()).isZero();
    assertThat(interactiveCost.queueNanos()).isGreaterThan(20 * chunkNanos);
  }

  /** Guards against urgent requests that queue behind each other on one server. */
  @Test
  void urgentRequestWaitsForQueuedUrgentRequests() {
    reportAll(placer, 2, 0, 0);
    PlacementRequest urgent = request("c", 1, 2, Priority.URGENT);
    PlacementResult.Chosen first = place(placer, urgent, 0);
    placer.recordSent(first, 0);
    assertThat(costOn(place(placer, urgent, MILLI), first.server()).queueNanos()).isPositive();
  }

  private static CostTerms costOn(PlacementResult.Chosen chosen, BackendServerId server) {
    return chosen.candidates().stream()
        .filter(candidate -> candidate.server().equals(server))
        .findFirst()
        .orElseThrow()
        .cost();
  }

  /** Guards against other requests that use the slot reserved for urgent ones. */
  @Test
  void lastSlotIsFreeForUrgentRequestsOnly() {
    placer.applyReport(report(1, 1, V1, 0), 0);
    for (int running = 1; running < PlacementFixture.SLOTS; running++) {
      placer.recordSent(place(placer, request("c", running), 0), 0);
    }
    PlacementResult.Chosen interactive = place(placer, request("c", 90), 0);
    PlacementResult.Chosen urgent = place(placer, request("c", 91, 2, Priority.URGENT), 0);
    double slotTime = (double) SECOND / PlacementFixture.SLOTS;
    assertThat(costOn(interactive, server(1)).slotNanos()).isGreaterThan(slotTime);
    assertThat(costOn(urgent, server(1)).slotNanos()).isLessThanOrEqualTo(slotTime);
  }

  /**
   * Guards against one prefix that overloads its home, and against homes that are never removed.
   */
  @Test
  void hotPrefixGainsHomesAndLosesThemAgain() {
    reportAll(placer, SERVERS, 0, 0);
    assertThat(homes(placer, 1, 0)).hasSize(1);
    for (int request = 0; request < 400; request++) {
      serve(placer, request("c", 1), request * 10 * MILLI);
    }
    assertThat(homes(placer, 1, 4 * SECOND).size()).isGreaterThanOrEqualTo(4);
    assertThat(homes(placer, 1, 34 * SECOND)).hasSize(1);
  }

  /** Guards against homes that get no requests while the first home gets all of them. */
  @Test
  void requestsOfAHotPrefixSpreadOverItsHomesBeforeTheFirstIsFull() {
    reportAll(placer, SERVERS, 0, 0);
    for (int request = 0; request < 200; request++) {
      serve(placer, request("c", 1), request * 10 * MILLI);
    }
    Map<BackendServerId, Integer> openRequests = new HashMap<>();
    for (int request = 0; request < 18; request++) {
      long now = 2 * SECOND + request * 10 * MILLI;
      PlacementResult.Chosen chosen = place(placer, request("c", 1), now);
      placer.recordSent(chosen, now);
      placer.recordFirstToken(
          chosen.id(), FIRST_INCARNATION, V1, chosen.expectedCachedTokens(), now);
      openRequests.merge(chosen.server(), 1, Integer::sum);
    }
    assertThat(openRequests.size()).isGreaterThanOrEqualTo(3);
    assertThat(openRequests.values())
        .allSatisfy(n -> assertThat(n).isLessThan(PlacementFixture.SLOTS));
  }

  /** Guards against a restarted router that sends prefixes to other servers than its peers. */
  @Test
  void restartedRouterAgreesWithItsPeers() {
    reportAll(placer, SERVERS, 0, 0);
    placer.setRouterCount(4);
    Placer restarted = placer(2);
    restarted.setRouterCount(4);
    reportAll(restarted, SERVERS, 0, 20 * SECOND);
    for (int request = 0; request < 60; request++) {
      serve(placer, request("c", request % 15), request * 100 * MILLI);
    }
    for (int dossier = 0; dossier < 15; dossier++) {
      PlacementResult.Chosen onPeer = place(placer, request("c", dossier), 7 * SECOND);
      PlacementResult.Chosen onRestarted = place(restarted, request("c", dossier), 20 * SECOND);
      assertThat(onPeer.expectedCachedTokens()).isPositive();
      assertThat(onRestarted.server()).isEqualTo(onPeer.server());
    }
  }

  /** Guards against long-tail traffic that spreads over all servers and evicts shared blocks. */
  @Test
  void coldPrefixesOfOneCustomerShareFewServers() {
    reportAll(placer, SERVERS, 0, 0);
    Set<BackendServerId> early = new HashSet<>();
    Set<BackendServerId> late = new HashSet<>();
    for (int dossier = 0; dossier < 200; dossier++) {
      PlacementResult.Chosen chosen =
          serve(placer, request("c", 1_000 + dossier), dossier * 700 * MILLI);
      (dossier < 20 ? early : late).add(chosen.server());
      if (dossier == 40) {
        late.clear();
      }
    }
    assertThat(early.size()).isGreaterThan(6);
    assertThat(late.size()).isLessThanOrEqualTo(PlacerConfig.of(NEAR).coldHomes());
  }

  /** Guards against a spill whose gain does not exceed the network delay and the margin. */
  @Test
  void remoteServerIsUsedOnlyBeyondTheMargin() {
    Placer twoCentrePlacer = placer(PlacementFixture.configWithTwoDataCentres(), 1);
    twoCentrePlacer.applyReport(report(1, 1, V1, 0), 0);
    twoCentrePlacer.applyReport(report(2, 1, FAR, V1, 0, 0), 0);
    assertThat(place(twoCentrePlacer, request("c", 1), 0).server()).isEqualTo(server(1));
    twoCentrePlacer.applyReport(report(1, 1, V1, 300), 0);
    assertThat(place(twoCentrePlacer, request("c", 1), 0).server()).isEqualTo(server(1));
    twoCentrePlacer.applyReport(report(1, 1, V1, 60_000), 0);
    assertThat(place(twoCentrePlacer, request("c", 1), 0).server()).isEqualTo(server(2));
  }

  /**
   * Guards against a prefix that alternates between data centres while its gain is near the margin.
   */
  @Test
  void spillDoesNotOscillate() {
    Placer twoCentrePlacer = placer(PlacementFixture.configWithTwoDataCentres(), 1);
    PlacementRequest request = request("c", 1).withLevels(List.of(8));
    long marginTokens =
        CostWeights.DEFAULT.spillMarginNanos()
            * PlacementFixture.PREFILL_TOKENS_PER_SECOND
            / SECOND;
    long thresholdTokens = breakEvenTokens(twoCentrePlacer, request) + marginTokens;
    int changes = 0;
    BackendServerId previous = null;
    for (int round = 1; round <= 100; round++) {
      long now = 60L * round * SECOND;
      long offsetTokens = round % 2 == 0 ? marginTokens / 5 : -marginTokens / 5;
      twoCentrePlacer.applyReport(report(2, 1, FAR, V1, 0, round), now);
      twoCentrePlacer.applyReport(
          report(1, 1, NEAR, V1, thresholdTokens + offsetTokens, round), now);
      BackendServerId chosen = place(twoCentrePlacer, request, now).server();
      changes += previous == null || previous.equals(chosen) ? 0 : 1;
      previous = chosen;
    }
    assertThat(previous).isEqualTo(server(2));
    assertThat(changes).isLessThanOrEqualTo(1);
  }

  /** Returns the queue of the local server, in tokens, at which both servers cost the same. */
  private static long breakEvenTokens(Placer twoCentrePlacer, PlacementRequest request) {
    twoCentrePlacer.applyReport(report(2, 1, FAR, V1, 0, 0), 0);
    twoCentrePlacer.applyReport(report(1, 1, NEAR, V1, 0, 0), 0);
    List<Candidate> candidates = place(twoCentrePlacer, request, 0).candidates();
    double near = candidates.get(0).cost().totalNanos();
    double far = candidates.get(1).cost().totalNanos();
    return (long) ((far - near) * PlacementFixture.PREFILL_TOKENS_PER_SECOND / SECOND);
  }

  /** Guards against one copy of a prefix per data centre when the network delay is negligible. */
  @Test
  void nearbyDataCentresShareHomes() {
    Map<DataCentreId, Long> distances = Map.of(FAR, 2 * MILLI, NEAR, 2 * MILLI);
    Placer nearPlacer = placer(PlacerConfig.of(NEAR).withRoundTrips(distances, 2 * MILLI), 1);
    Placer farPlacer = placer(PlacerConfig.of(FAR).withRoundTrips(distances, 2 * MILLI), 2);
    for (Placer router : List.of(nearPlacer, farPlacer)) {
      for (int server = 1; server <= 6; server++) {
        router.applyReport(report(server, 1, server % 2 == 0 ? NEAR : FAR, V1, 50_000, 0), 0);
      }
    }
    for (int dossier = 0; dossier < 20; dossier++) {
      assertThat(homes(nearPlacer, dossier, 0)).isEqualTo(homes(farPlacer, dossier, 0));
    }
  }

  private static Set<BackendServerId> homes(Placer placer, int dossier, long nowNanos) {
    Set<BackendServerId> homes = new HashSet<>();
    for (Candidate candidate : place(placer, request("c", dossier), nowNanos).candidates()) {
      if (candidate.origin() == CandidateOrigin.HOME) {
        homes.add(candidate.server());
      }
    }
    return homes;
  }

  /** Guards against cost weights that do not affect the choice between cache hits and waiting. */
  @Test
  void hitWeightKeepsAPrefixWithItsHolderDespiteAQueue() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    int holderNumber = Integer.parseInt(first.server().value().substring(1));
    placer.applyReport(report(holderNumber, 1, V1, 20_000), MILLI);
    PlacementRequest fast = request("c", 1).withCostWeights(new CostWeights(1, 0, 0));
    PlacementRequest hits = request("c", 1).withCostWeights(new CostWeights(1, 4, 0));
    assertThat(place(placer, fast, MILLI).server()).isNotEqualTo(first.server());
    assertThat(place(placer, hits, MILLI).server()).isEqualTo(first.server());
  }

  /** Guards against imports that are slower than computing, and against missing faster ones. */
  @Test
  void blocksAreImportedOnlyWhenThatIsFaster() {
    BackendServerId store = new BackendServerId("kv");
    KvTransfer fast = new KvTransfer(Optional.of(store), false, 1_000_000, 1e9, 5 * MILLI);
    KvTransfer slow = new KvTransfer(Optional.of(store), false, 1_000_000, 1e6, 5 * MILLI);
    assertThat(importAfterStoring(fast)).isPresent();
    assertThat(importAfterStoring(fast).orElseThrow().source()).isEqualTo(store);
    assertThat(importAfterStoring(fast).orElseThrow().endBlock()).isEqualTo(8);
    assertThat(importAfterStoring(slow)).isEmpty();
  }

  private static Optional<KvImport> importAfterStoring(KvTransfer transfer) {
    Placer importPlacer = placer(PlacerConfig.of(NEAR).withKvTransfer(transfer), 1);
    reportAll(importPlacer, 3, 0, 0);
    importPlacer.recordStoredChain(place(importPlacer, request("c", 1), 0).chain(), 0);
    return place(importPlacer, request("c", 1), 0).kvImport();
  }

  /** Guards against ignoring the store because many engines used the blocks more recently. */
  @Test
  void storeIsASourceHoweverManyEnginesHoldTheBlocks() {
    BackendServerId store = new BackendServerId("kv");
    KvTransfer transfer = new KvTransfer(Optional.of(store), false, 1_000_000, 1e9, MILLI);
    Placer importPlacer = placer(PlacerConfig.of(NEAR).withKvTransfer(transfer), 1);
    reportAll(importPlacer, SERVERS, 0, 0);
    PlacementResult.Chosen chosen = place(importPlacer, request("c", 1), 0);
    importPlacer.recordStoredChain(chosen.chain(), 0);
    for (int holder = 1; holder < SERVERS; holder++) {
      importPlacer
          .cacheIndex()
          .recordCachedChain(server(holder), FIRST_INCARNATION, chosen.chain(), 0, MILLI);
    }
    Set<BackendServerId> holders = new HashSet<>(servers(SERVERS - 1));
    Optional<KvImport> found =
        place(importPlacer, request("c", 1).excluding(holders), MILLI).kvImport();
    assertThat(found.map(KvImport::source)).contains(store);
  }

  /** Guards against an import from an engine that no longer holds the blocks. */
  @Test
  void engineIsASourceOnlyInItsCurrentIncarnation() {
    KvTransfer engines = new KvTransfer(Optional.empty(), true, 1_000_000, 1e9, MILLI);
    Placer importPlacer = placer(PlacerConfig.of(NEAR).withKvTransfer(engines), 1);
    reportAll(importPlacer, 2, 0, 0);
    BackendServerId holder = serve(importPlacer, request("c", 1), 0).server();
    PlacementRequest elsewhere = request("c", 1).excluding(Set.of(holder));
    Optional<KvImport> live = place(importPlacer, elsewhere, 0).kvImport();
    assertThat(live.map(KvImport::source)).contains(holder);
    importPlacer.observeIncarnation(holder, new Incarnation(2));
    assertThat(place(importPlacer, elsewhere, 0).kvImport()).isEmpty();
  }

  /** Guards against a strategy that the placer cannot run, and against wrong baselines. */
  @Test
  void placerRunsEveryStrategy() {
    List<PlacementStrategy> strategies =
        List.of(
            new ExpectedCostStrategy(),
            new RandomStrategy(),
            new LeastLoadedStrategy(),
            new ConsistentHashStrategy(),
            (CustomPlacementStrategy)
                context ->
                    List.of(
                        context.evaluate(
                            context.eligible().all().get(0), CandidateOrigin.ELIGIBLE)));
    for (PlacementStrategy strategy : strategies) {
      Placer strategyPlacer = new Placer(PlacerConfig.of(NEAR), strategy, new Random(3));
      reportAll(strategyPlacer, SERVERS, 10_000, 0);
      strategyPlacer.applyReport(report(4, 1, V1, 0), 0);
      Set<BackendServerId> used = new HashSet<>();
      for (int round = 0; round < 200; round++) {
        used.add(place(strategyPlacer, request("c", 1), 0).server());
      }
      switch (strategy) {
        case RandomStrategy random -> assertThat(used).hasSize(SERVERS);
        case LeastLoadedStrategy least -> assertThat(used).containsExactly(server(4));
        case ConsistentHashStrategy hash -> assertThat(used).hasSize(1);
        case CustomPlacementStrategy custom -> assertThat(used).containsExactly(server(1));
        case ExpectedCostStrategy cost -> assertThat(servers(SERVERS)).containsAll(used);
      }
    }
  }

  /**
   * Guards against levels outside the prompt, which would read keys that do not belong to the
   * prompt.
   */
  @Test
  void levelsMustAscendWithinThePrompt() {
    assertThatThrownBy(() -> request("c", 1).withLevels(List.of(4, 4)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> request("c", 1).withLevels(List.of(9)))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against failing to place a prompt that is shorter than a block. */
  @Test
  void promptWithoutFullBlockIsPlaced() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen chosen = serve(placer, request("c", 1, 0, Priority.URGENT), 0);
    assertThat(chosen.chain().length()).isZero();
    assertThat(chosen.expectedCachedTokens()).isZero();
  }
}
