package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.NEAR;
import static org.pollenrock.core.placement.PlacementFixture.V1;
import static org.pollenrock.core.placement.PlacementFixture.V2;
import static org.pollenrock.core.placement.PlacementFixture.placer;
import static org.pollenrock.core.placement.PlacementFixture.report;
import static org.pollenrock.core.placement.PlacementFixture.request;
import static org.pollenrock.core.placement.PlacementFixture.server;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.pollenrock.core.cache.CacheEvent;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.CacheScope;
import org.pollenrock.core.prefix.PrefixChain;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/**
 * Runs a placer through generated fault schedules and checks the invariant {@code cache-identity}.
 */
class PlacerSchedulePropertyTest {
  private static final int SERVERS = 4;
  private static final int STEPS = 80;
  private static final List<PlacementRequest> REQUESTS =
      List.of(
          request("a", 0),
          request("a", 1),
          request("a", 2),
          request("b", 0),
          request("b", 1),
          request("b", 2));
  private static final int SCHEDULES = Boolean.getBoolean("pollenrock.long") ? 200_000 : 12_000;

  /**
   * Guards against placements that rely on an ended incarnation, another customer's cache or older
   * weights.
   *
   * <p>Crashes, restarts, reloads, evictions, a rollout and cache events that are lost, repeated,
   * reordered or of a previous incarnation happen in any order. All blocks that a placement expects
   * to be cached must have been sent to the chosen incarnation of the server, or stored by it,
   * under the same keys.
   */
  @Property(seed = "4701", tries = 1, shrinking = ShrinkingMode.OFF)
  void placementReliesOnlyOnBlocksOfTheChosenIncarnation(@ForAll long seed) {
    Random seeds = new Random(seed);
    for (int schedule = 0; schedule < SCHEDULES; schedule++) {
      new FaultSchedule(seeds.nextLong()).run();
    }
  }

  /** Actual state of a simulated engine. The router learns of this state through messages only. */
  private static final class SimulatedEngine {
    private final int number;
    private final List<CacheEvent> events = new ArrayList<>();
    private final Set<BlockKey> everHeld = new HashSet<>();
    private long incarnation = 1;
    private WeightsVersion weights = V1;
    private long timeMillis;

    SimulatedEngine(int number) {
      this.number = number;
    }

    BackendServerId id() {
      return server(number);
    }

    void crash() {
      incarnation++;
      events.clear();
      everHeld.clear();
    }

    void reload() {
      weights = weights.equals(V1) ? V2 : V1;
      for (BlockKey key : everHeld) {
        events.add(new CacheEvent(events.size() + 1, CacheEvent.Kind.EVICTED, key));
      }
    }

    void store(PrefixChain chain) {
      for (BlockKey key : chain.keys()) {
        everHeld.add(key);
        events.add(new CacheEvent(events.size() + 1, CacheEvent.Kind.STORED, key));
      }
    }

    ServerReport nextReport() {
      return report(number, incarnation, NEAR, weights, 0, ++timeMillis);
    }
  }

  /** One schedule of random steps, determined by its seed. */
  private static final class FaultSchedule {
    private final long seed;
    private final Random random;
    private final PrefixFingerprinter fingerprinter = new PrefixFingerprinter();
    private final Placer placer;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<PlacementResult.Chosen> inFlight = new ArrayList<>();
    private final List<Runnable> delayedMessages = new ArrayList<>();
    private long now;

    FaultSchedule(long seed) {
      this.seed = seed;
      random = new Random(seed);
      placer = placer(PlacerConfig.of(NEAR).withCache(16 + random.nextInt(100), 4), seed);
      for (int number = 1; number <= SERVERS; number++) {
        SimulatedEngine engine = new SimulatedEngine(number);
        engines.add(engine);
        placer.applyReport(engine.nextReport(), now);
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        now += random.nextInt(200) * MILLI;
        SimulatedEngine engine = engines.get(random.nextInt(SERVERS));
        switch (random.nextInt(12)) {
          case 0 -> crash(engine);
          case 1 -> reload(engine);
          case 2 -> deliverEvents(engine);
          case 3 -> delayReport(engine);
          case 4 -> deliverDelayedMessage();
          case 5 -> placer.applyReport(engine.nextReport(), now);
          case 6, 7 -> respond();
          default -> place();
        }
      }
    }

    private void crash(SimulatedEngine engine) {
      long previousIncarnation = engine.incarnation;
      List<CacheEvent> previousEvents = List.copyOf(engine.events);
      engine.crash();
      placer.observeIncarnation(engine.id(), new Incarnation(engine.incarnation));
      delayedMessages.add(
          () ->
              placer.applyCacheEvents(
                  engine.id(), new Incarnation(previousIncarnation), previousEvents, now));
    }

    private void reload(SimulatedEngine engine) {
      engine.reload();
      placer.applyReport(engine.nextReport(), now);
    }

    private void deliverEvents(SimulatedEngine engine) {
      List<CacheEvent> delivered = new ArrayList<>(engine.events);
      delivered.removeIf(event -> random.nextInt(5) == 0);
      Collections.shuffle(delivered, random);
      placer.applyCacheEvents(engine.id(), new Incarnation(engine.incarnation), delivered, now);
    }

    private void delayReport(SimulatedEngine engine) {
      ServerReport outdated = engine.nextReport();
      engine.timeMillis++;
      placer.applyReport(engine.nextReport(), now);
      delayedMessages.add(() -> placer.applyReport(outdated, now));
    }

    private void deliverDelayedMessage() {
      if (!delayedMessages.isEmpty()) {
        delayedMessages.remove(random.nextInt(delayedMessages.size())).run();
      }
    }

    private void respond() {
      if (inFlight.isEmpty()) {
        return;
      }
      PlacementResult.Chosen chosen = inFlight.remove(random.nextInt(inFlight.size()));
      SimulatedEngine engine =
          engines.get(Integer.parseInt(chosen.server().value().substring(1)) - 1);
      boolean sameIdentity =
          chosen.incarnation().value() == engine.incarnation
              && chosen.weights().equals(engine.weights);
      Incarnation incarnation = new Incarnation(engine.incarnation);
      if (!sameIdentity) {
        assertThat(placer.recordFirstToken(chosen.id(), incarnation, engine.weights, 0, now))
            .isFalse();
      }
      if (!sameIdentity || random.nextInt(5) == 0) {
        placer.recordFailure(chosen.id());
        return;
      }
      engine.store(chosen.chain());
      assertThat(placer.recordFirstToken(chosen.id(), incarnation, engine.weights, 0, now))
          .isTrue();
      placer.recordCompletion(chosen.id(), now);
    }

    private void place() {
      PlacementRequest request = REQUESTS.get(random.nextInt(REQUESTS.size()));
      if (random.nextInt(4) == 0) {
        request = request.requiring(random.nextBoolean() ? V1 : V2);
      }
      if (placer.place(request, now) instanceof PlacementResult.Chosen chosen) {
        checkCandidates(chosen);
        placer.recordSent(chosen, now);
        inFlight.add(chosen);
      }
    }

    private void checkCandidates(PlacementResult.Chosen chosen) {
      for (Candidate candidate : chosen.candidates()) {
        SimulatedEngine engine = engine(candidate.server());
        boolean sameIncarnation = candidate.incarnation().value() == engine.incarnation;
        boolean sameWeights = candidate.weights().equals(engine.weights);
        double possible = possibleBlocks(engine, chain(chosen.request(), candidate.weights()));
        double limit = possible * chosen.request().tokensPerBlock() + 1e-6;
        if (!sameIncarnation || !sameWeights || candidate.expectedCachedTokens() > limit) {
          throw new AssertionError("seed " + seed + ": " + candidate + ", possible " + limit);
        }
      }
    }

    private PrefixChain chain(PlacementRequest request, WeightsVersion weights) {
      return fingerprinter.deriveChain(
          request.blocks(),
          new CacheScope(request.customer(), request.model(), request.adapter(), weights));
    }

    private SimulatedEngine engine(BackendServerId server) {
      return engines.get(Integer.parseInt(server.value().substring(1)) - 1);
    }

    /**
     * Returns the number of leading blocks that the current incarnation of the engine has stored or
     * that were sent to it.
     */
    private int possibleBlocks(SimulatedEngine engine, PrefixChain chain) {
      int blocks = 0;
      while (blocks < chain.length() && isPossible(engine, chain, blocks)) {
        blocks++;
      }
      return blocks;
    }

    private boolean isPossible(SimulatedEngine engine, PrefixChain chain, int block) {
      if (engine.everHeld.contains(chain.key(block))) {
        return true;
      }
      for (PlacementResult.Chosen sent : inFlight) {
        boolean toEngine =
            sent.server().equals(engine.id()) && sent.incarnation().value() == engine.incarnation;
        boolean longEnough = block < sent.chain().length();
        if (toEngine && longEnough && sent.chain().key(block).equals(chain.key(block))) {
          return true;
        }
      }
      return false;
    }
  }
}
