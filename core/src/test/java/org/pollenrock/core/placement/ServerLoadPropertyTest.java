package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.placement.PlacementFixture.FIRST_INCARNATION;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.NEAR;
import static org.pollenrock.core.placement.PlacementFixture.PREFILL_TOKENS_PER_SECOND;
import static org.pollenrock.core.placement.PlacementFixture.V1;
import static org.pollenrock.core.placement.PlacementFixture.place;
import static org.pollenrock.core.placement.PlacementFixture.placer;
import static org.pollenrock.core.placement.PlacementFixture.report;
import static org.pollenrock.core.placement.PlacementFixture.request;
import static org.pollenrock.core.placement.PlacementFixture.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

class ServerLoadPropertyTest {
  private static final int STEPS = 60;
  private static final long LAG_NANOS = PlacerConfig.of(NEAR).reportLagNanos();
  private static final List<PlacementRequest> REQUESTS =
      List.of(request("a", 0), request("a", 1), request("b", 2), request("b", 3));

  /** Guards against incremental sums that differ from sums computed over the whole history. */
  @Property(seed = "4801", tries = 500, shrinking = ShrinkingMode.OFF)
  void queueAndRunningRequestsMatchTheHistory(@ForAll long seed) {
    Random random = new Random(seed);
    Placer placer = placer(seed);
    List<SentRequest> history = new ArrayList<>();
    long now = 0;
    long reportedNanos = 0;
    long reportedTokens = 0;
    placer.applyReport(report(1, 1, V1, 0), now);
    for (int step = 0; step < STEPS; step++) {
      now += (1 + random.nextInt(40)) * MILLI;
      SentRequest drawn = history.isEmpty() ? null : history.get(random.nextInt(history.size()));
      switch (random.nextInt(5)) {
        case 0 -> {
          reportedNanos = now;
          reportedTokens = random.nextInt(30_000);
          placer.applyReport(report(1, 1, V1, reportedTokens), now);
        }
        case 1 -> answer(placer, drawn, now);
        case 2 -> end(placer, drawn, now, random.nextBoolean());
        default -> {
          PlacementResult.Chosen chosen =
              place(placer, REQUESTS.get(random.nextInt(REQUESTS.size())), now);
          placer.recordSent(chosen, now);
          history.add(new SentRequest(chosen, now));
        }
      }
      ServerLoad load = placer.load(server(1)).orElseThrow();
      double queue = queue(history, reportedNanos, reportedTokens, now);
      assertThat(load.queueTokens(now)).isCloseTo(queue, within(1e-6));
      assertThat(load.running()).isEqualTo(running(history, reportedNanos));
    }
  }

  private static void answer(Placer placer, SentRequest sent, long now) {
    if (sent != null && sent.answeredNanos == Long.MAX_VALUE && sent.endedNanos == Long.MAX_VALUE) {
      placer.recordFirstToken(sent.chosen.id(), FIRST_INCARNATION, V1, 0, now);
      sent.answeredNanos = now;
    }
  }

  private static void end(Placer placer, SentRequest sent, long now, boolean completed) {
    if (sent == null || sent.endedNanos != Long.MAX_VALUE) {
      return;
    }
    if (completed) {
      placer.recordCompletion(sent.chosen.id(), now);
    } else {
      placer.recordFailure(sent.chosen.id());
    }
    sent.endedNanos = now;
    sent.answeredNanos = Math.min(sent.answeredNanos, now);
  }

  private static double queue(
      List<SentRequest> history, long reportNanos, long reportedTokens, long now) {
    double unreported = 0;
    double answered = 0;
    for (SentRequest sent : history) {
      if (!sent.isInReport(reportNanos)) {
        unreported += sent.answeredNanos == Long.MAX_VALUE ? sent.missingTokens() : 0;
      } else if (sent.answeredNanos != Long.MAX_VALUE && sent.answeredNanos > reportNanos) {
        answered += sent.missingTokens();
      }
    }
    double drained = Math.max(answered, (now - reportNanos) / 1e9 * PREFILL_TOKENS_PER_SECOND);
    return Math.max(0, reportedTokens - drained) + unreported;
  }

  private static int running(List<SentRequest> history, long reportNanos) {
    int running = 0;
    for (SentRequest sent : history) {
      running += !sent.isInReport(reportNanos) && sent.endedNanos == Long.MAX_VALUE ? 1 : 0;
    }
    return running;
  }

  /** One sent request in the history, with the times of its answer and end. */
  private static final class SentRequest {
    private final PlacementResult.Chosen chosen;
    private final long sentNanos;
    private long answeredNanos = Long.MAX_VALUE;
    private long endedNanos = Long.MAX_VALUE;

    SentRequest(PlacementResult.Chosen chosen, long sent) {
      this.chosen = chosen;
      this.sentNanos = sent;
    }

    boolean isInReport(long reportNanos) {
      return reportNanos - sentNanos >= LAG_NANOS;
    }

    int missingTokens() {
      return chosen.request().promptTokens() - chosen.expectedCachedTokens();
    }
  }
}
