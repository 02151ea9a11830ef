package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.V1;
import static org.pollenrock.core.placement.PlacementFixture.place;
import static org.pollenrock.core.placement.PlacementFixture.placer;
import static org.pollenrock.core.placement.PlacementFixture.report;
import static org.pollenrock.core.placement.PlacementFixture.request;
import static org.pollenrock.core.placement.PlacementFixture.server;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

class HerdTest {
  private static final int ROUTERS = 5;
  private static final int SERVERS = 13;
  private static final int REQUESTS_PER_ROUTER = 30;

  /**
   * Guards against a herd effect: 5 routers that all send their requests to the one server that a
   * stale report shows as idle.
   *
   * <p>Each request samples 2 of 13 servers and has one home, so the idle server is a candidate in
   * about 3 of 13 requests. The bound is twice that share.
   */
  @Property(seed = "4601", tries = 40, shrinking = ShrinkingMode.OFF)
  void staleReportOfAnIdleServerDoesNotAttractEveryRouter(
      @ForAll @IntRange(min = 1, max = SERVERS) int idle, @ForAll short seed) {
    int total = 0;
    int onIdle = 0;
    for (int router = 0; router < ROUTERS; router++) {
      Placer placer = placer(seed * 31L + router);
      for (int server = 1; server <= SERVERS; server++) {
        placer.applyReport(report(server, 1, V1, server == idle ? 0 : 200_000), 0);
      }
      for (int round = 0; round < REQUESTS_PER_ROUTER; round++) {
        int dossier = (seed * ROUTERS + router) * REQUESTS_PER_ROUTER + round;
        PlacementResult.Chosen chosen = place(placer, request("c" + dossier, dossier), MILLI);
        placer.recordSent(chosen, MILLI);
        total++;
        onIdle += chosen.server().equals(server(idle)) ? 1 : 0;
      }
    }
    assertThat(onIdle).isLessThanOrEqualTo(total * 6 / SERVERS);
  }

  /**
   * Guards against a router that keeps sending requests to one server because the server's report
   * does not change in the meantime.
   */
  @Property(seed = "4602", tries = 20, shrinking = ShrinkingMode.OFF)
  void ownRequestsCountImmediately(@ForAll short seed) {
    Placer placer = placer(seed);
    PlacementFixture.reportAll(placer, SERVERS, 0, 0);
    List<Integer> sent = new ArrayList<>();
    for (int server = 0; server <= SERVERS; server++) {
      sent.add(0);
    }
    for (int round = 0; round < 10 * SERVERS; round++) {
      int dossier = seed * 1_000 + round;
      PlacementResult.Chosen chosen = place(placer, request("c" + dossier, dossier), MILLI);
      placer.recordSent(chosen, MILLI);
      int number = Integer.parseInt(chosen.server().value().substring(1));
      sent.set(number, sent.get(number) + 1);
    }
    assertThat(sent.subList(1, sent.size())).allSatisfy(n -> assertThat(n).isBetween(4, 16));
  }
}
