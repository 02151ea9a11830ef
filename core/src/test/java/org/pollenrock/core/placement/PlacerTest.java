package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.placement.PlacementFixture.FAR;
import static org.pollenrock.core.placement.PlacementFixture.FIRST;
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

  /** Guards against a repeated prompt that is sent away from the server that cached it. */
  @Test
  void repeatedPrefixGoesToItsHolder() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    PlacementResult.Chosen second = serve(placer, request("c", 1), SECOND);
    assertThat(second.server()).isEqualTo(first.server());
    assertThat(first.expectedCachedTokens()).isZero();
    assertThat(second.expectedCachedTokens()).isGreaterThan(7_000);
    assertThat(second.candidates()).isNotEmpty();
    assertThat(second.candidates().get(0).server()).isEqualTo(second.server());
  }

  /** Guards against a queue on the holder that costs more than computing the prefix again. */
  @Test
  void longQueueOnTheHolderOutweighsItsCache() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    int holder = Integer.parseInt(first.server().value().substring(1));
    placer.applyReport(report(holder, 1, V1, 500_000), MILLI);
    assertThat(place(placer, request("c", 1), 2 * MILLI).server()).isNotEqualTo(first.server());
  }

  /** Guards against reliance on a dead engine after any message names its next life. */
  @Test
  void restartedHolderIsAvoidedUntilItReports() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    placer.observeIncarnation(first.server(), new Incarnation(2));
    PlacementResult.Chosen second = place(placer, request("c", 1), MILLI);
    assertThat(second.server()).isNotEqualTo(first.server());
    int holder = Integer.parseInt(first.server().value().substring(1));
    placer.applyReport(report(holder, 2, V1, 0), MILLI);
    PlacementResult.Chosen third = place(placer, request("c", 1), MILLI);
    assertThat(third.expectedCachedTokens()).isZero();
    assertThat(third.incarnation())
        .isEqualTo(new Incarnation(third.server().equals(first.server()) ? 2 : 1));
  }

  /** Guards against learning from a response of another life or other weights. */
  @Test
  void responseWithAnotherIdentityTeachesNothing() {
    reportAll(placer, 1, 0, 0);
    PlacementResult.Chosen chosen = place(placer, request("c", 1), 0);
    placer.recordSent(chosen, 0);
    assertThat(placer.recordFirstToken(chosen.id(), FIRST, V2, 8_000, 0)).isFalse();
    assertThat(place(placer, request("c", 1), 0).expectedCachedTokens()).isZero();
    placer.recordFailure(chosen.id());
    assertThat(placer.inFlightCount()).isZero();
  }

  /** Guards against a continued stream that is sent to a server with other weights. */
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

  /** Guards against blocks of older weights that count after a reload and a rollback. */
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
   * Guards against urgent requests that ignore a prefill chunk they cannot interrupt, and against
   * urgent requests that leave their prefix for a queue that they do not wait in.
   */
  @Test
  void urgentRequestWaitsForOneChunkOfALongPrefillAhead() {
    reportAll(placer, 2, 0, 0);
    PlacementRequest urgent = request("c", 1, 2, Priority.URGENT);
    PlacementRequest patient = request("c", 1, 2, Priority.INTERACTIVE);
    PlacementResult.Chosen home = serve(placer, patient, 0);
    int busy = Integer.parseInt(home.server().value().substring(1));
    double chunkNanos = 2_048.0 / PlacementFixture.RATE * SECOND;
    assertThat(costOn(place(placer, urgent, MILLI), home.server()).urgentNanos()).isZero();

    placer.applyReport(report(busy, 1, V1, 1_000), MILLI);
    CostTerms shortQueue = costOn(place(placer, urgent, MILLI), home.server());
    assertThat(shortQueue.urgentNanos()).isBetween(0.4 * chunkNanos, 0.6 * chunkNanos);

    placer.applyReport(report(busy, 1, V1, 60_000), MILLI);
    CostTerms urgentCost = costOn(place(placer, urgent, MILLI), home.server());
    CostTerms patientCost = costOn(place(placer, patient, MILLI), home.server());
    assertThat(urgentCost.urgentNanos()).isCloseTo(chunkNanos, within(1.0));
    assertThat(urgentCost.queueNanos()).isZero();
    assertThat(patientCost.urgentNanos()).isZero();
    assertThat(patientCost.queueNanos()).isGreaterThan(20 * chunkNanos);
  }

  /** Guards against urgent requests that pile up behind each other on one server. */
  @Test
  void urgentRequestWaitsForUrgentOnesAhead() {
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

  /** Guards against ordinary requests that take the slot kept for urgent ones. */
  @Test
  void lastSlotIsFreeForUrgentRequestsOnly() {
    placer.applyReport(report(1, 1, V1, 0), 0);
    for (int running = 1; running < PlacementFixture.SLOTS; running++) {
      placer.recordSent(place(placer, request("c", running), 0), 0);
    }
    PlacementResult.Chosen patient = place(placer, request("c", 90), 0);
    PlacementResult.Chosen urgent = place(placer, request("c", 91, 2, Priority.URGENT), 0);
    double slotTime = (double) SECOND / PlacementFixture.SLOTS;
    assertThat(costOn(patient, server(1)).slotNanos()).isGreaterThan(slotTime);
    assertThat(costOn(urgent, server(1)).slotNanos()).isLessThanOrEqualTo(slotTime);
  }

  /** Guards against one prefix that overloads its home, and against homes that never shrink. */
  @Test
  void hotPrefixGainsHomesAndLosesThemAgain() {
    reportAll(placer, SERVERS, 0, 0);
    assertThat(homesOf(placer, 1, 0)).hasSize(1);
    for (int request = 0; request < 400; request++) {
      serve(placer, request("c", 1), request * 10 * MILLI);
    }
    assertThat(homesOf(placer, 1, 4 * SECOND).size()).isGreaterThanOrEqualTo(4);
    assertThat(homesOf(placer, 1, 34 * SECOND)).hasSize(1);
  }

  /** Guards against homes that exist in name while the first one takes all requests. */
  @Test
  void requestsOfAHotPrefixSpreadOverItsHomesBeforeTheFirstIsFull() {
    reportAll(placer, SERVERS, 0, 0);
    for (int request = 0; request < 200; request++) {
      serve(placer, request("c", 1), request * 10 * MILLI);
    }
    Map<BackendServerId, Integer> open = new HashMap<>();
    for (int request = 0; request < 18; request++) {
      long now = 2 * SECOND + request * 10 * MILLI;
      PlacementResult.Chosen chosen = place(placer, request("c", 1), now);
      placer.recordSent(chosen, now);
      placer.recordFirstToken(chosen.id(), FIRST, V1, chosen.expectedCachedTokens(), now);
      open.merge(chosen.server(), 1, Integer::sum);
    }
    assertThat(open.size()).isGreaterThanOrEqualTo(3);
    assertThat(open.values()).allSatisfy(n -> assertThat(n).isLessThan(PlacementFixture.SLOTS));
  }

  /** Guards against a restarted router that sends known prefixes elsewhere. */
  @Test
  void newRouterAgreesWithItsPeers() {
    reportAll(placer, SERVERS, 0, 0);
    placer.setRouterCount(4);
    Placer restarted = placer(2);
    restarted.setRouterCount(4);
    reportAll(restarted, SERVERS, 0, 20 * SECOND);
    for (int request = 0; request < 60; request++) {
      serve(placer, request("c", request % 15), request * 100 * MILLI);
    }
    for (int dossier = 0; dossier < 15; dossier++) {
      PlacementResult.Chosen known = place(placer, request("c", dossier), 7 * SECOND);
      PlacementResult.Chosen fresh = place(restarted, request("c", dossier), 20 * SECOND);
      assertThat(known.expectedCachedTokens()).isPositive();
      assertThat(fresh.server()).isEqualTo(known.server());
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

  /** Guards against a spill for a gain that the network delay and margin do not justify. */
  @Test
  void remoteServerIsUsedOnlyBeyondTheMargin() {
    Placer split = placer(PlacementFixture.twoDataCentres(), 1);
    split.applyReport(report(1, 1, V1, 0), 0);
    split.applyReport(report(2, 1, FAR, V1, 0, 0), 0);
    assertThat(place(split, request("c", 1), 0).server()).isEqualTo(server(1));
    split.applyReport(report(1, 1, V1, 300), 0);
    assertThat(place(split, request("c", 1), 0).server()).isEqualTo(server(1));
    split.applyReport(report(1, 1, V1, 60_000), 0);
    assertThat(place(split, request("c", 1), 0).server()).isEqualTo(server(2));
  }

  /**
   * Guards against a prefix that alternates between data centres while the gain is near the margin.
   */
  @Test
  void spillDoesNotOscillate() {
    Placer split = placer(PlacementFixture.twoDataCentres(), 1);
    PlacementRequest request = request("c", 1).withLevels(List.of(8));
    long marginTokens = CostWeights.DEFAULT.spillMarginNanos() * PlacementFixture.RATE / SECOND;
    long begin = gainTokens(split, request) + marginTokens;
    int changes = 0;
    BackendServerId previous = null;
    for (int round = 1; round <= 100; round++) {
      long now = 60L * round * SECOND;
      long wobble = round % 2 == 0 ? marginTokens / 5 : -marginTokens / 5;
      split.applyReport(report(2, 1, FAR, V1, 0, round), now);
      split.applyReport(report(1, 1, NEAR, V1, begin + wobble, round), now);
      BackendServerId chosen = place(split, request, now).server();
      changes += previous == null || previous.equals(chosen) ? 0 : 1;
      previous = chosen;
    }
    assertThat(previous).isEqualTo(server(2));
    assertThat(changes).isLessThanOrEqualTo(1);
  }

  /** Queue of the local server at which both servers cost the same. */
  private static long gainTokens(Placer split, PlacementRequest request) {
    split.applyReport(report(2, 1, FAR, V1, 0, 0), 0);
    split.applyReport(report(1, 1, NEAR, V1, 0, 0), 0);
    List<Candidate> candidates = place(split, request, 0).candidates();
    double near = candidates.get(0).cost().totalNanos();
    double far = candidates.get(1).cost().totalNanos();
    return (long) ((far - near) * PlacementFixture.RATE / SECOND);
  }

  /** Guards against one copy of a prefix per data centre although the delay is negligible. */
  @Test
  void nearbyDataCentresShareHomes() {
    Map<DataCentreId, Long> distances = Map.of(FAR, 2 * MILLI, NEAR, 2 * MILLI);
    Placer near = placer(PlacerConfig.of(NEAR).withRoundTrips(distances, 2 * MILLI), 1);
    Placer far = placer(PlacerConfig.of(FAR).withRoundTrips(distances, 2 * MILLI), 2);
    for (Placer router : List.of(near, far)) {
      for (int server = 1; server <= 6; server++) {
        router.applyReport(report(server, 1, server % 2 == 0 ? NEAR : FAR, V1, 50_000, 0), 0);
      }
    }
    for (int dossier = 0; dossier < 20; dossier++) {
      assertThat(homesOf(near, dossier, 0)).isEqualTo(homesOf(far, dossier, 0));
    }
  }

  private static Set<BackendServerId> homesOf(Placer placer, int dossier, long nowNanos) {
    Set<BackendServerId> homes = new HashSet<>();
    for (Candidate candidate : place(placer, request("c", dossier), nowNanos).candidates()) {
      if (candidate.origin() == CandidateOrigin.HOME) {
        homes.add(candidate.server());
      }
    }
    return homes;
  }

  /** Guards against settings weights that do not change a choice between hits and waiting. */
  @Test
  void hitWeightKeepsAPrefixWithItsHolderDespiteAQueue() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen first = serve(placer, request("c", 1), 0);
    int holder = Integer.parseInt(first.server().value().substring(1));
    placer.applyReport(report(holder, 1, V1, 20_000), MILLI);
    PlacementRequest fast = request("c", 1).withCostWeights(new CostWeights(1, 0, 0));
    PlacementRequest hits = request("c", 1).withCostWeights(new CostWeights(1, 4, 0));
    assertThat(place(placer, fast, MILLI).server()).isNotEqualTo(first.server());
    assertThat(place(placer, hits, MILLI).server()).isEqualTo(first.server());
  }

  /** Guards against imports that take longer than computing, and against missed faster ones. */
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
    Placer importing = placer(PlacerConfig.of(NEAR).withKvTransfer(transfer), 1);
    reportAll(importing, 3, 0, 0);
    importing.recordStoredChain(place(importing, request("c", 1), 0).chain(), 0);
    return place(importing, request("c", 1), 0).kvImport();
  }

  /** Guards against a store that is overlooked because many engines used the blocks later. */
  @Test
  void storeIsASourceHoweverManyEnginesHoldTheBlocks() {
    BackendServerId store = new BackendServerId("kv");
    KvTransfer transfer = new KvTransfer(Optional.of(store), false, 1_000_000, 1e9, MILLI);
    Placer importing = placer(PlacerConfig.of(NEAR).withKvTransfer(transfer), 1);
    reportAll(importing, SERVERS, 0, 0);
    PlacementResult.Chosen chosen = place(importing, request("c", 1), 0);
    importing.recordStoredChain(chosen.chain(), 0);
    for (int holder = 1; holder < SERVERS; holder++) {
      importing.cacheIndex().observed(server(holder), FIRST, chosen.chain(), 0, MILLI);
    }
    Set<BackendServerId> holders = new HashSet<>(servers(SERVERS - 1));
    Optional<KvImport> found =
        place(importing, request("c", 1).excluding(holders), MILLI).kvImport();
    assertThat(found.map(KvImport::source)).contains(store);
  }

  /** Guards against an import from an engine that no longer holds the blocks. */
  @Test
  void engineIsASourceOnlyInItsCurrentLife() {
    KvTransfer engines = new KvTransfer(Optional.empty(), true, 1_000_000, 1e9, MILLI);
    Placer importing = placer(PlacerConfig.of(NEAR).withKvTransfer(engines), 1);
    reportAll(importing, 2, 0, 0);
    BackendServerId holder = serve(importing, request("c", 1), 0).server();
    PlacementRequest elsewhere = request("c", 1).excluding(Set.of(holder));
    Optional<KvImport> live = place(importing, elsewhere, 0).kvImport();
    assertThat(live.map(KvImport::source)).contains(holder);
    importing.observeIncarnation(holder, new Incarnation(2));
    assertThat(place(importing, elsewhere, 0).kvImport()).isEmpty();
  }

  /** Guards against a strategy that the facade cannot run, and against wrong baselines. */
  @Test
  void everyStrategyWorksBehindTheFacade() {
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
      Placer any = new Placer(PlacerConfig.of(NEAR), strategy, new Random(3));
      reportAll(any, SERVERS, 10_000, 0);
      any.applyReport(report(4, 1, V1, 0), 0);
      Set<BackendServerId> used = new HashSet<>();
      for (int round = 0; round < 200; round++) {
        used.add(place(any, request("c", 1), 0).server());
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

  /** Guards against levels outside the prompt, which would read foreign keys. */
  @Test
  void levelsMustAscendWithinThePrompt() {
    assertThatThrownBy(() -> request("c", 1).withLevels(List.of(4, 4)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> request("c", 1).withLevels(List.of(9)))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against a prompt shorter than a block that cannot be placed. */
  @Test
  void promptWithoutFullBlockIsPlaced() {
    reportAll(placer, SERVERS, 0, 0);
    PlacementResult.Chosen chosen = serve(placer, request("c", 1, 0, Priority.URGENT), 0);
    assertThat(chosen.chain().length()).isZero();
    assertThat(chosen.expectedCachedTokens()).isZero();
  }
}
