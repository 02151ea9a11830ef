package org.pollenrock.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/** Identifiers, server reports and requests shared by the placement tests. */
final class PlacementFixture {
  static final DataCentreId NEAR = new DataCentreId("kurasini");
  static final DataCentreId FAR = new DataCentreId("ubungo");
  static final ModelId MODEL = new ModelId("m");
  static final WeightsVersion V1 = new WeightsVersion("v1");
  static final WeightsVersion V2 = new WeightsVersion("v2");
  static final Incarnation FIRST_INCARNATION = new Incarnation(1);
  static final long SECOND = 1_000_000_000L;
  static final long MILLI = 1_000_000L;
  static final int PREFILL_TOKENS_PER_SECOND = 10_000;
  static final int SLOTS = 8;

  private static final int BLOCK_BYTES = 4_096;
  private static final PrefixFingerprinter FINGERPRINTER = new PrefixFingerprinter();

  private PlacementFixture() {}

  static Placer placer(PlacerConfig config, long seed) {
    return new Placer(config, new ExpectedCostStrategy(), new Random(seed));
  }

  static Placer placer(long seed) {
    return placer(PlacerConfig.of(NEAR), seed);
  }

  static BackendServerId server(int number) {
    return new BackendServerId("s" + number);
  }

  static ServerReport report(
      int server, long incarnation, WeightsVersion weights, long queueTokens) {
    return report(server, incarnation, NEAR, weights, queueTokens, 0);
  }

  static ServerReport report(
      int server,
      long incarnation,
      DataCentreId dataCentre,
      WeightsVersion weights,
      long queueTokens,
      long timeMillis) {
    return new ServerReport(
        server(server),
        new Incarnation(incarnation),
        dataCentre,
        true,
        List.of(new ServedModel(MODEL, weights, Set.of(new AdapterId("lora")))),
        new ReportedLoad(queueTokens, 0, SLOTS, PREFILL_TOKENS_PER_SECOND, 1_000, 100),
        timeMillis);
  }

  static void reportAll(Placer placer, int servers, long queueTokens, long nowNanos) {
    for (int server = 1; server <= servers; server++) {
      placer.applyReport(report(server, 1, V1, queueTokens), nowNanos);
    }
  }

  /** Returns a request with 8 blocks: 2 of the service, 2 of the customer and 4 of the dossier. */
  static PlacementRequest request(String customer, int dossier) {
    return request(customer, dossier, 8, Priority.INTERACTIVE).withLevels(List.of(2, 4, 8));
  }

  static PlacementRequest request(String customer, int dossier, int blocks, Priority priority) {
    byte[] prompt = new byte[blocks * BLOCK_BYTES + 400];
    new Random(customer.hashCode()).nextBytes(prompt);
    Arrays.fill(prompt, 0, Math.min(2, blocks) * BLOCK_BYTES, (byte) 's');
    Random dossierContent = new Random(dossier);
    for (int index = Math.min(4, blocks) * BLOCK_BYTES; index < prompt.length; index++) {
      prompt[index] = (byte) dossierContent.nextInt();
    }
    return PlacementRequest.of(
        new CustomerId(customer), MODEL, FINGERPRINTER.digestPrompt(prompt, BLOCK_BYTES), priority);
  }

  static PlacementResult.Chosen place(Placer placer, PlacementRequest request, long nowNanos) {
    return switch (placer.place(request, nowNanos)) {
      case PlacementResult.Chosen chosen -> chosen;
      case PlacementResult.NoServer none -> throw new AssertionError("no server: " + none.reason());
    };
  }

  /**
   * Places a request and simulates the response of a server that has cached the expected tokens.
   */
  static PlacementResult.Chosen serve(Placer placer, PlacementRequest request, long nowNanos) {
    PlacementResult.Chosen chosen = place(placer, request, nowNanos);
    placer.recordSent(chosen, nowNanos);
    placer.recordFirstToken(
        chosen.id(),
        chosen.incarnation(),
        chosen.weights(),
        chosen.expectedCachedTokens(),
        nowNanos);
    placer.recordCompletion(chosen.id(), nowNanos + 500 * MILLI);
    return chosen;
  }

  static List<BackendServerId> servers(int count) {
    List<BackendServerId> servers = new ArrayList<>();
    for (int server = 1; server <= count; server++) {
      servers.add(server(server));
    }
    return servers;
  }

  static PlacerConfig configWithTwoDataCentres() {
    return PlacerConfig.of(NEAR).withRoundTrips(Map.of(FAR, 2 * MILLI), 0);
  }
}
