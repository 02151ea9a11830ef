package org.pollenrock.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * Guards against two failures: goodput collapses under overload, or a loss of capacity affects
 * higher priority classes while requests of lower classes are still served.
 *
 * <p>A discrete-event simulation with a virtual clock sends random arrivals to servers with a fixed
 * number of slots. Goodput is the number of requests whose first token arrives within the deadline.
 */
class AdmissionLoadTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final int SLOTS = 30;
  private static final long MEAN_SERVICE_NANOS = 100 * MS;
  private static final double CAPACITY_PER_SECOND = SLOTS * (double) SECOND / MEAN_SERVICE_NANOS;
  private static final long DEADLINE_NANOS = 500 * MS;
  private static final long EXPECTED_TTFT_NANOS = 20 * MS;
  private static final long DURATION_NANOS = 60 * SECOND;
  private static final long SERVER_LOSS_NANOS = 20 * SECOND;

  private enum EventKind {
    ARRIVE,
    FINISH,
    LOSE_SERVER
  }

  private record Event(long timeNanos, long sequence, EventKind kind, long id) {}

  private static final class GoodputTally {
    private int offered;
    private int withinDeadline;

    private double ratio() {
      return (double) withinDeadline / offered;
    }
  }

  private static final class LoadSimulation {
    private final SplittableRandom random;
    private final AdmissionQueue queue =
        new AdmissionQueue(new AdmissionSettings(2, 200, 600, MEAN_SERVICE_NANOS), SLOTS);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private final Map<Long, AdmissionRequest> requests = new HashMap<>();
    private final Map<Priority, GoodputTally> talliesByPriority = new EnumMap<>(Priority.class);
    private final double ratePerSecond;
    private final long measureFromNanos;
    private long sequence;
    private long now;

    private LoadSimulation(long seed, double load, long measureFromNanos) {
      this.random = new SplittableRandom(seed);
      this.ratePerSecond = load * CAPACITY_PER_SECOND;
      this.measureFromNanos = measureFromNanos;
      for (Priority priority : Priority.values()) {
        talliesByPriority.put(priority, new GoodputTally());
      }
      scheduleEvent(0, EventKind.ARRIVE, 0);
    }

    private void scheduleEvent(long at, EventKind kind, long id) {
      events.add(new Event(at, sequence++, kind, id));
    }

    private LoadSimulation run() {
      while (!events.isEmpty() && events.peek().timeNanos() < DURATION_NANOS) {
        Event event = events.poll();
        now = event.timeNanos();
        switch (event.kind()) {
          case ARRIVE -> arrive(event.id());
          case FINISH -> queue.finish(event.id(), now);
          default -> queue.setSlots(SLOTS * 2 / 3);
        }
        queue.poll(now).forEach(this::handleDecision);
      }
      return this;
    }

    private void arrive(long id) {
      double gap = -Math.log(1 - random.nextDouble()) / ratePerSecond;
      scheduleEvent(now + (long) (gap * SECOND), EventKind.ARRIVE, id + 1);
      AdmissionRequest request =
          new AdmissionRequest(
              id,
              new CustomerId("c" + random.nextInt(8)),
              1,
              pickPriority(random.nextInt(20)),
              1_000,
              EXPECTED_TTFT_NANOS,
              now + DEADLINE_NANOS);
      requests.put(id, request);
      if (now >= measureFromNanos) {
        talliesByPriority.get(request.priority()).offered++;
      }
      queue.offer(request, now);
    }

    // Selects URGENT for 15%, INTERACTIVE for 35% and BATCH for 50% of the requests.
    private static Priority pickPriority(int randomValue) {
      if (randomValue < 3) {
        return Priority.URGENT;
      }
      return randomValue < 10 ? Priority.INTERACTIVE : Priority.BATCH;
    }

    private void handleDecision(AdmissionDecision decision) {
      AdmissionRequest request = requests.remove(decision.id());
      if (!(decision instanceof AdmissionDecision.Dispatch)) {
        return;
      }
      long service = MEAN_SERVICE_NANOS / 2 + random.nextLong(MEAN_SERVICE_NANOS);
      long ttft = EXPECTED_TTFT_NANOS / 2 + random.nextLong(EXPECTED_TTFT_NANOS);
      scheduleEvent(now + service, EventKind.FINISH, request.id());
      boolean counted = request.deadlineNanos() - DEADLINE_NANOS >= measureFromNanos;
      if (counted && now + ttft <= request.deadlineNanos()) {
        talliesByPriority.get(request.priority()).withinDeadline++;
      }
    }

    private int goodput() {
      return talliesByPriority.values().stream().mapToInt(tally -> tally.withinDeadline).sum();
    }

    private double ratio(Priority priority) {
      return talliesByPriority.get(priority).ratio();
    }
  }

  private static int goodput(double load) {
    return new LoadSimulation(51, load, 0).run().goodput();
  }

  @Test
  void goodputAtTwiceTheLoadIsAtLeastNinetyPercentOfThePeak() {
    int peak = 0;
    for (double load = 0.5; load <= 2.001; load += 0.1) {
      peak = Math.max(peak, goodput(load));
    }
    int twice = goodput(2);
    System.out.printf("goodput in %d s: peak %d, at 2x %d%n", DURATION_NANOS / SECOND, peak, twice);
    assertThat(twice).isGreaterThanOrEqualTo(peak * 9 / 10);
    assertThat(peak).isGreaterThan((int) (0.9 * CAPACITY_PER_SECOND * DURATION_NANOS / SECOND));
  }

  /**
   * Shows that goodput collapses under the same load when requests are served in arrival order and
   * none is refused, so that the test above is able to fail.
   */
  @Test
  void firstInFirstOutCollapsesUnderTheSameLoad() {
    SplittableRandom random = new SplittableRandom(51);
    Deque<Long> finishTimes = new ArrayDeque<>();
    int good = 0;
    double at = 0;
    while (at < DURATION_NANOS) {
      at += -Math.log(1 - random.nextDouble()) / (2 * CAPACITY_PER_SECOND) * SECOND;
      long start = (long) at;
      if (finishTimes.size() == SLOTS) {
        start = Math.max(start, finishTimes.removeFirst());
      }
      finishTimes.addLast(start + MEAN_SERVICE_NANOS);
      good += start + EXPECTED_TTFT_NANOS <= at + DEADLINE_NANOS && start < DURATION_NANOS ? 1 : 0;
    }
    assertThat(good).isLessThan(goodput(2) / 2);
  }

  @Test
  void losingOneOfThreeServersDegradesByClass() {
    LoadSimulation simulation = new LoadSimulation(52, 0.9, SERVER_LOSS_NANOS + SECOND);
    simulation.scheduleEvent(SERVER_LOSS_NANOS, EventKind.LOSE_SERVER, 0);
    simulation.run();
    System.out.printf(
        "served after loss: urgent %.4f, interactive %.4f, batch %.4f%n",
        simulation.ratio(Priority.URGENT),
        simulation.ratio(Priority.INTERACTIVE),
        simulation.ratio(Priority.BATCH));
    assertThat(simulation.ratio(Priority.URGENT)).isGreaterThan(0.99);
    assertThat(simulation.ratio(Priority.INTERACTIVE)).isGreaterThan(0.99);
    assertThat(simulation.ratio(Priority.BATCH)).isBetween(0.2, 0.7);
  }
}
