package org.pollenrock.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.placement.ExpectedCostStrategy;
import org.pollenrock.core.placement.PlacementRequest;
import org.pollenrock.core.placement.PlacementResult;
import org.pollenrock.core.placement.Placer;
import org.pollenrock.core.placement.PlacerConfig;
import org.pollenrock.core.placement.ReportedLoad;
import org.pollenrock.core.placement.ServedModel;
import org.pollenrock.core.placement.ServerReport;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/**
 * A placer with reported servers and the requests of eight customers, for measurements.
 *
 * <p>A prompt has 12 blocks: 2 of the service, 2 of the customer and 8 of a dossier.
 */
public final class PlacementWorkload {
  private static final DataCentreId DATA_CENTRE = new DataCentreId("nigde-a");
  private static final ModelId MODEL = new ModelId("briefing");
  private static final WeightsVersion WEIGHTS = new WeightsVersion("v1");
  private static final Incarnation INCARNATION = new Incarnation(1);
  private static final int CUSTOMERS = 8;
  private static final int SERVICE_BLOCKS = 2;
  private static final int CUSTOMER_END = 4;
  private static final int DOSSIER_END = 12;
  private static final int BLOCK_BYTES = PrefixFingerprinter.DEFAULT_BLOCK_SIZE_BYTES;
  private static final long STEP_NANOS = 1_000_000L;

  private final Random random;
  private final PrefixFingerprinter fingerprinter = new PrefixFingerprinter();
  private final Placer placer;
  private final List<PlacementRequest> requests = new ArrayList<>();
  private long nowNanos;
  private int next;

  /**
   * Creates a placer with servers that have reported.
   *
   * @param servers number of servers
   * @param dossiers number of different prompts
   * @param cacheEntries bound of the cache index
   * @param seed seed of every random choice
   */
  public PlacementWorkload(int servers, int dossiers, int cacheEntries, long seed) {
    random = new Random(seed);
    PlacerConfig config = PlacerConfig.of(DATA_CENTRE).withCache(cacheEntries, cacheEntries / 100);
    placer = new Placer(config, new ExpectedCostStrategy(), new Random(seed));
    for (int server = 0; server < servers; server++) {
      placer.applyReport(report(server), nowNanos);
    }
    for (int dossier = 0; dossier < dossiers; dossier++) {
      requests.add(request(dossier % CUSTOMERS, dossier));
    }
  }

  private static ServerReport report(int server) {
    ReportedLoad load = new ReportedLoad(2_000L * (server % 7), 3, 32, 12_000, 100_000, 100);
    return new ServerReport(
        new BackendServerId("engine-" + server),
        INCARNATION,
        DATA_CENTRE,
        true,
        List.of(new ServedModel(MODEL, WEIGHTS, Set.of())),
        load,
        1);
  }

  private PlacementRequest request(int customer, int dossier) {
    byte[] prompt = new byte[DOSSIER_END * BLOCK_BYTES + BLOCK_BYTES / 2];
    new Random(dossier).nextBytes(prompt);
    Arrays.fill(prompt, 0, SERVICE_BLOCKS * BLOCK_BYTES, (byte) 's');
    Arrays.fill(prompt, SERVICE_BLOCKS * BLOCK_BYTES, CUSTOMER_END * BLOCK_BYTES, (byte) customer);
    return PlacementRequest.of(
            new CustomerId("customer-" + customer),
            MODEL,
            fingerprinter.digestPrompt(prompt, BLOCK_BYTES),
            Priority.INTERACTIVE)
        .withLevels(List.of(SERVICE_BLOCKS, CUSTOMER_END, DOSSIER_END));
  }

  /** Sends every request once and records that its blocks are cached where it went. */
  public void warmUp() {
    for (PlacementRequest request : requests) {
      nowNanos += STEP_NANOS;
      if (placer.place(request, nowNanos) instanceof PlacementResult.Chosen chosen) {
        placer.recordSent(chosen, nowNanos);
        placer.recordFirstToken(chosen.id(), INCARNATION, WEIGHTS, 0, nowNanos);
        placer.recordCompletion(chosen.id(), nowNanos);
      }
    }
  }

  /**
   * Places the next request, without sending it.
   *
   * @return the result
   */
  public PlacementResult placeNext() {
    next = next + 1 == requests.size() ? 0 : next + 1;
    return placer.place(requests.get(next), nowNanos);
  }

  /** Puts the requests into a random order. */
  public void shuffle() {
    Collections.shuffle(requests, random);
  }

  /**
   * Entries in the cache index.
   *
   * @return pairs of block and server
   */
  public int cacheEntries() {
    return placer.cacheIndex().entryCount();
  }

  /** Drops the requests, so that a measurement of memory sees the placer alone. */
  public void dropRequests() {
    requests.clear();
  }
}
