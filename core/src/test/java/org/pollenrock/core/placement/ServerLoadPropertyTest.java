package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.pollenrock.core.placement.PlacementFixture.FIRST;
import static org.pollenrock.core.placement.PlacementFixture.MILLI;
import static org.pollenrock.core.placement.PlacementFixture.NEAR;
import static org.pollenrock.core.placement.PlacementFixture.RATE;
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

  /** Guards against running sums that drift from what the whole history gives. */
  @Property(seed = "4801", tries = 500, shrinking = ShrinkingMode.OFF)
  void queueAndSlotsEqualThoseOfTheHistory(@ForAll long seed) {
    Random random = new Random(seed);
    Placer placer = placer(seed);
    List<Sent> history = new ArrayList<>();
    long now = 0;
    long reportedNanos = 0;
    long reportedTokens = 0;
    placer.applyReport(report(1, 1, V1, 0), now);
    for (int step = 0; step < STEPS; step++) {
      now += (1 + random.nextInt(40)) * MILLI;
      Sent any = history.isEmpty() ? null : history.get(random.nextInt(history.size()));
      switch (random.nextInt(5)) {
        case 0 -> {
          reportedNanos = now;
          reportedTokens = random.nextInt(30_000);
          placer.applyReport(report(1, 1, V1, reportedTokens), now);
        }
        case 1 -> answer(placer, any, now);
        case 2 -> end(placer, any, now, random.nextBoolean());
        default -> {
          PlacementResult.Chosen chosen =
              place(placer, REQUESTS.get(random.nextInt(REQUESTS.size())), now);
          placer.recordSent(chosen, now);
          history.add(new Sent(chosen, now));
        }
      }
      ServerLoad load = placer.load(server(1)).orElseThrow();
      double queue = queue(history, reportedNanos, reportedTokens, now);
      assertThat(load.queueTokens(now)).isCloseTo(queue, within(1e-6));
      assertThat(load.running()).isEqualTo(running(history, reportedNanos));
    }
  }

  private static void answer(Placer placer, Sent sent, long now) {
    if (sent != null && sent.answered == Long.MAX_VALUE && sent.ended == Long.MAX_VALUE) {
      placer.recordFirstToken(sent.chosen.id(), FIRST, V1, 0, now);
      sent.answered = now;
    }
  }

  private static void end(Placer placer, Sent sent, long now, boolean well) {
    if (sent == null || sent.ended != Long.MAX_VALUE) {
      return;
    }
    if (well) {
      placer.recordCompletion(sent.chosen.id(), now);
    } else {
      placer.recordFailure(sent.chosen.id());
    }
    sent.ended = now;
    sent.answered = Math.min(sent.answered, now);
  }

  private static double queue(List<Sent> history, long reported, long tokens, long now) {
    double since = 0;
    double answered = 0;
    for (Sent sent : history) {
      if (!sent.inReport(reported)) {
        since += sent.answered == Long.MAX_VALUE ? sent.missing() : 0;
      } else if (sent.answered != Long.MAX_VALUE && sent.answered > reported) {
        answered += sent.missing();
      }
    }
    double drained = Math.max(answered, (now - reported) / 1e9 * RATE);
    return Math.max(0, tokens - drained) + since;
  }

  private static int running(List<Sent> history, long reported) {
    int running = 0;
    for (Sent sent : history) {
      running += !sent.inReport(reported) && sent.ended == Long.MAX_VALUE ? 1 : 0;
    }
    return running;
  }

  /** One request of the history. */
  private static final class Sent {
    private final PlacementResult.Chosen chosen;
    private final long sent;
    private long answered = Long.MAX_VALUE;
    private long ended = Long.MAX_VALUE;

    Sent(PlacementResult.Chosen chosen, long sent) {
      this.chosen = chosen;
      this.sent = sent;
    }

    boolean inReport(long reported) {
      return reported - sent >= LAG_NANOS;
    }

    int missing() {
      return chosen.request().promptTokens() - chosen.expectedCachedTokens();
    }
  }
}
