package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.placement.PlacementFixture.FIRST_INCARNATION;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.MODEL;
import static org.pollenrock.core.placement.PlacementFixture.NEAR;
import static org.pollenrock.core.placement.PlacementFixture.SECOND;
import static org.pollenrock.core.placement.PlacementFixture.V1;
import static org.pollenrock.core.placement.PlacementFixture.V2;
import static org.pollenrock.core.placement.PlacementFixture.place;
import static org.pollenrock.core.placement.PlacementFixture.placer;
import static org.pollenrock.core.placement.PlacementFixture.report;
import static org.pollenrock.core.placement.PlacementFixture.request;
import static org.pollenrock.core.placement.PlacementFixture.server;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;

class LoadTableTest {
  private final LoadTable table = new LoadTable(PlacerConfig.of(NEAR));

  private static ServerReport notAccepting() {
    ServerReport report = report(1, 1, V1, 0);
    return new ServerReport(
        report.server(), FIRST_INCARNATION, NEAR, false, report.models(), report.load(), 0);
  }

  /** Guards against a late report that restores an ended incarnation or older load figures. */
  @Test
  void outdatedReportsAreIgnored() {
    assertThat(table.applyReport(report(1, 2, NEAR, V1, 100, 10), 0)).isTrue();
    assertThat(table.applyReport(report(1, 1, NEAR, V1, 0, 99), 0)).isFalse();
    assertThat(table.applyReport(report(1, 2, NEAR, V1, 0, 9), 0)).isFalse();
    assertThat(table.find(server(1)).orElseThrow().queueTokens(0)).isEqualTo(100);
    table.remove(server(1));
    assertThat(table.applyReport(report(1, 1, NEAR, V1, 0, 99), 0)).isFalse();
    assertThat(table.size()).isZero();
  }

  /** Guards against a leaving server that accepts requests again after a late report. */
  @Test
  void leavingAppliesToOneIncarnationOnly() {
    table.applyReport(report(1, 1, V1, 0), 0);
    table.markLeaving(server(1), FIRST_INCARNATION);
    table.applyReport(report(1, 1, V1, 0), 0);
    assertThat(table.eligible(request("c", 1)).all()).isEmpty();
    table.applyReport(report(1, 2, V1, 0), 0);
    assertThat(table.eligible(request("c", 1)).all()).hasSize(1);
  }

  /** Guards against using a restarted server for the models of its previous incarnation. */
  @Test
  void restartedServerIsNotUsedBeforeItsFirstReport() {
    table.applyReport(report(1, 1, V1, 0), 0);
    assertThat(table.observeIncarnation(server(1), new Incarnation(2))).isTrue();
    assertThat(table.eligible(request("c", 1)).all()).isEmpty();
    table.applyReport(report(1, 2, V1, 0), 0);
    assertThat(table.eligible(request("c", 1)).all()).hasSize(1);
  }

  /** Guards against a wrong reason in the refusal of a request. */
  @Test
  void reasonNamesTheFirstConditionThatNoServerMeets() {
    PlacementRequest request = request("c", 1);
    assertThat(table.noServerReason(request)).isEqualTo(NoServerReason.MODEL_NOT_SERVED);
    table.applyReport(notAccepting(), 0);
    assertThat(table.noServerReason(request)).isEqualTo(NoServerReason.NONE_ACCEPTING);
    table.applyReport(report(1, 1, V1, 0), 0);
    assertThat(table.noServerReason(request.requiring(V2)))
        .isEqualTo(NoServerReason.WEIGHTS_NOT_SERVED);
    assertThat(table.noServerReason(request.excluding(Set.of(server(1)))))
        .isEqualTo(NoServerReason.ALL_EXCLUDED);
    assertThat(table.noServerReason(withAdapter(request, "none")))
        .isEqualTo(NoServerReason.ADAPTER_NOT_LOADED);
    assertThat(table.eligible(withAdapter(request, "lora")).all()).hasSize(1);
  }

  private static PlacementRequest withAdapter(PlacementRequest request, String adapter) {
    return new PlacementRequest(
        request.customer(),
        request.model(),
        Optional.of(new AdapterId(adapter)),
        request.blocks(),
        request.levelEnds(),
        request.promptTokens(),
        request.priority(),
        request.requiredWeights(),
        request.excluded(),
        request.costWeights());
  }

  /** Guards against a cached selection that is kept although a server serves something else now. */
  @Test
  void cachedSelectionIsRenewedAfterReports() {
    table.applyReport(report(1, 1, V1, 0), 0);
    assertThat(table.eligible(request("c", 1).requiring(V1)).all()).hasSize(1);
    table.applyReport(report(1, 1, V2, 0), 0);
    assertThat(table.eligible(request("c", 1).requiring(V1)).all()).isEmpty();
    assertThat(table.eligible(request("c", 1).requiring(V2)).all()).hasSize(1);
    table.applyReport(
        new ServerReport(
            server(1),
            FIRST_INCARNATION,
            NEAR,
            true,
            List.of(new ServedModel(new ModelId("x"), V1, Set.of())),
            report(1, 1, V1, 0).load(),
            0),
        0);
    assertThat(table.noServerReason(request("c", 1))).isEqualTo(NoServerReason.MODEL_NOT_SERVED);
    assertThat(MODEL.value()).isNotEqualTo("x");
  }

  /** Guards against queue figures that omit own requests or count them twice. */
  @Test
  void queueIsTheDrainedReportPlusOwnTokensSentSince() {
    Placer placer = placer(1);
    placer.applyReport(report(1, 1, V1, 20_000), 0);
    ServerLoad load = placer.load(server(1)).orElseThrow();
    assertThat(load.queueTokens(SECOND)).isEqualTo(10_000);
    PlacementResult.Chosen chosen = place(placer, request("c", 1), SECOND);
    placer.recordSent(chosen, SECOND);
    int ownTokens = chosen.request().promptTokens() - chosen.expectedCachedTokens();
    assertThat(load.queueTokens(SECOND)).isEqualTo(10_000 + ownTokens);
    assertThat(load.running()).isEqualTo(1);
    placer.applyReport(report(1, 1, V1, ownTokens), SECOND + 20 * MILLI);
    assertThat(load.queueTokens(SECOND + 20 * MILLI)).isEqualTo(2 * ownTokens);
    placer.applyReport(report(1, 1, V1, ownTokens), SECOND + 100 * MILLI);
    assertThat(load.queueTokens(SECOND + 100 * MILLI)).isEqualTo(ownTokens);
    placer.recordFirstToken(chosen.id(), FIRST_INCARNATION, V1, 0, SECOND + 200 * MILLI);
    assertThat(load.queueTokens(SECOND + 200 * MILLI)).isCloseTo(0, within(1e-6));
    placer.recordCompletion(chosen.id(), 2 * SECOND);
    assertThat(load.inFlightCount()).isZero();
    assertThat(placer.inFlightCount()).isZero();
  }
}
