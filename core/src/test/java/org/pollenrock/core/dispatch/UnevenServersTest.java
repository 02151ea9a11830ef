package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.speed.ServerSpeed;

/**
 * Load pattern: the servers of one plain service differ in speed, slow down before they are full,
 * or become slow and fast again, while the service is busy.
 */
class UnevenServersTest {
  private static final int SERVERS = 5;
  private static final int SLOTS = 6;
  private static final double WORK_MILLIS = 60;
  private static final long TARGET_NANOS = 200 * Fixtures.MILLI;

  /** Time of a request relative to the usual one, by server, running requests and time. */
  private interface Slowness {
    double at(int server, int running, long nowNanos);
  }

  private record Running(
      long endNanos, int server, DispatchRequest request, double load, long sentNanos) {}

  /** Event loop over servers that run up to their slots and queue the rest. */
  private static final class Day {
    private final Random random = new Random(11);
    private final Slowness slowness;
    private final boolean learning;
    private final ServerSelector selector =
        new ServerSelector(
            SelectorSettings.defaults("near"),
            new PrefixDirectory(),
            new PrefixStoreView(),
            customer -> "shared");
    private final List<Backend> servers = new ArrayList<>();
    private final PriorityQueue<Running> running =
        new PriorityQueue<>((a, b) -> Long.compare(a.endNanos(), b.endNanos()));
    private final Queue<DispatchRequest> waiting = new ArrayDeque<>();
    private final List<List<Running>> queues = new ArrayList<>();
    private final int[] runningCounts = new int[SERVERS];
    private final int[] sent = new int[SERVERS];
    private final List<Integer> choices = new ArrayList<>();
    private boolean varied;
    private int different;
    private int arrived;
    private int inTime;
    private long countedFromNanos;

    private Day(Slowness slowness, boolean learning) {
      this.slowness = slowness;
      this.learning = learning;
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new Backend(Fixtures.plainServer("s" + i, "near", SLOTS), 0));
        queues.add(new ArrayList<>());
      }
    }

    private void run(long fromNanos, long toNanos, double perSecond) {
      arrived = 0;
      inTime = 0;
      countedFromNanos = fromNanos;
      double next = fromNanos;
      while (next < toNanos) {
        next += -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
        complete((long) next);
        arrive((long) next);
      }
    }

    private void complete(long untilNanos) {
      while (!running.isEmpty() && running.peek().endNanos() <= untilNanos) {
        Running done = running.poll();
        long now = done.endNanos();
        Backend server = servers.get(done.server());
        server.recordReceived(now);
        server.recordRequestEnd(0, false);
        runningCounts[done.server()]--;
        if (learning) {
          selector.speedMeter().recordPlain(server, done.load(), now - done.sentNanos(), now);
        }
        long arrivalNanos = done.request().arrivalNanos();
        if (arrivalNanos >= countedFromNanos && now - arrivalNanos <= TARGET_NANOS) {
          inTime++;
        }
        if (!queues.get(done.server()).isEmpty()) {
          begin(queues.get(done.server()).remove(0), now);
        }
        while (!waiting.isEmpty() && send(waiting.peek(), now)) {
          waiting.remove();
        }
      }
    }

    private void arrive(long now) {
      DispatchRequest request = Fixtures.request("r" + arrived++, Optional.empty(), 3, now);
      if (!send(request, now)) {
        waiting.add(request);
      }
    }

    private boolean send(DispatchRequest request, long now) {
      Selection selection =
          selector.select(request, servers, Set.of(), WeightsRequirement.NONE, now);
      if (!(selection instanceof Selection.Chosen chosen)) {
        return false;
      }
      int server = servers.indexOf(chosen.backend());
      sent[server]++;
      ServerSpeed speed = chosen.backend().speed();
      different += speed.factor() == 1 && speed.limit().isEmpty() ? 0 : 1;
      choices.add(server);
      chosen.backend().recordRequestStart(0, now);
      Running send = new Running(0, server, request, chosen.backend().load(now), now);
      if (runningCounts[server] < SLOTS) {
        begin(send, now);
      } else {
        queues.get(server).add(send);
      }
      return true;
    }

    private void begin(Running send, long now) {
      int count = ++runningCounts[send.server()];
      double millis = WORK_MILLIS * slowness.at(send.server(), count, now) * variation();
      long end = now + (long) (millis * 1e6);
      running.add(new Running(end, send.server(), send.request(), send.load(), send.sentNanos()));
    }

    /** Returns a factor with a mean of 1, for the work of a single request. */
    private double variation() {
      return varied ? -Math.log(1 - random.nextDouble()) : 0.7 + 0.6 * random.nextDouble();
    }

    private double lateShare() {
      return 1 - (double) inTime / arrived;
    }
  }

  private static Day day(Slowness slowness, boolean learning, double perSecond) {
    Day day = new Day(slowness, learning);
    day.run(0, 10 * Fixtures.SECOND, perSecond);
    day.run(10 * Fixtures.SECOND, 40 * Fixtures.SECOND, perSecond);
    day.complete(Long.MAX_VALUE);
    return day;
  }

  @Test
  void serverOfAThirdOfTheSpeedMakesFewRequestsLate() {
    Slowness slowness = (server, running, now) -> server == 0 ? 3.3 : 1;
    Day counting = day(slowness, false, 300);
    Day learning = day(slowness, true, 300);
    assertThat(learning.lateShare()).isLessThan(counting.lateShare() / 2);
    assertThat(learning.sent[0]).isPositive();
  }

  @Test
  void serverOfHalfTheSpeedIsNotFilledWhileOthersHaveRoom() {
    Slowness slowness = (server, running, now) -> server == 0 ? 2 : 1;
    Day counting = day(slowness, false, 430);
    Day learning = day(slowness, true, 430);
    assertThat(learning.lateShare()).isLessThan(counting.lateShare() / 2);
  }

  @Test
  void serverThatSlowsDownFromFourOfSixRequestsOnKeepsFewer() {
    Slowness slowness = (server, running, now) -> server == 0 && running >= 4 ? 5 : 1;
    Day counting = day(slowness, false, 300);
    Day learning = day(slowness, true, 300);
    assertThat(learning.lateShare()).isLessThan(counting.lateShare() / 2);
    assertThat(learning.servers.get(0).speed().limit().orElse(SLOTS)).isBetween(1, 4);
  }

  @Test
  void serverThatTurnsFastAgainGetsItsShareBack() {
    long recovered = 20 * Fixtures.SECOND;
    Slowness slowness = (server, running, now) -> server == 0 && now < recovered ? 3.3 : 1;
    Day day = new Day(slowness, true);
    day.run(0, recovered, 300);
    assertThat(day.servers.get(0).speed().factor()).isGreaterThan(1.5);
    day.run(recovered, recovered + 15 * Fixtures.SECOND, 300);
    int before = day.sent[0];
    day.run(recovered + 15 * Fixtures.SECOND, recovered + 25 * Fixtures.SECOND, 300);
    assertThat(day.sent[0] - before).isGreaterThan(day.arrived / SERVERS * 8 / 10);
  }

  @Test
  void serversThatAreAlikeAreChosenAsWithoutMeasurements() {
    for (int perSecond : List.of(50, 200, 350, 450, 480)) {
      Day counting = day((server, running, now) -> 1, false, perSecond);
      Day learning = day((server, running, now) -> 1, true, perSecond);
      assertThat(learning.choices).isEqualTo(counting.choices);
    }
  }

  @Test
  void serversThatAreAlikeStaySoWithRequestsOfVariedWork() {
    for (int perSecond : List.of(50, 200, 350, 450)) {
      Day learning = new Day((server, running, now) -> 1, true);
      learning.varied = true;
      learning.run(0, 40 * Fixtures.SECOND, perSecond);
      assertThat((double) learning.different / learning.arrived).isLessThan(0.01);
    }
  }
}
