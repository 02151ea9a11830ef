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
 * Guards against goodput that collapses under overload, and against loss of capacity that reaches
 * the upper classes while lower ones are still served.
 *
 * <p>An event loop with a virtual clock offers random arrivals to servers with a fixed number of
 * slots; goodput counts requests whose first token arrived within their deadline.
 */
class AdmissionLoadTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final int SLOTS = 30;
  private static final long MEAN_SERVICE = 100 * MS;
  private static final double CAPACITY_PER_SECOND = SLOTS * (double) SECOND / MEAN_SERVICE;
  private static final long DEADLINE = 500 * MS;
  private static final long EXPECTED_TTFT = 20 * MS;
  private static final long LENGTH = 60 * SECOND;
  private static final long LOSS_AT = 20 * SECOND;

  private enum Kind {
    ARRIVE,
    FINISH,
    LOSE_SERVER
  }

  private record Event(long at, long sequence, Kind kind, long id) {}

  private static final class Tally {
    private int offered;
    private int good;

    private double ratio() {
      return (double) good / offered;
    }
  }

  private static final class Load {
    private final SplittableRandom random;
    private final AdmissionQueue queue =
        new AdmissionQueue(new AdmissionSettings(2, 200, 600, MEAN_SERVICE), SLOTS);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final Map<Long, AdmissionRequest> requests = new HashMap<>();
    private final Map<Priority, Tally> tallies = new EnumMap<>(Priority.class);
    private final double ratePerSecond;
    private final long countFrom;
    private long sequence;
    private long now;

    private Load(long seed, double load, long countFrom) {
      this.random = new SplittableRandom(seed);
      this.ratePerSecond = load * CAPACITY_PER_SECOND;
      this.countFrom = countFrom;
      for (Priority priority : Priority.values()) {
        tallies.put(priority, new Tally());
      }
      add(0, Kind.ARRIVE, 0);
    }

    private void add(long at, Kind kind, long id) {
      events.add(new Event(at, sequence++, kind, id));
    }

    private Load run() {
      while (!events.isEmpty() && events.peek().at() < LENGTH) {
        Event event = events.poll();
        now = event.at();
        switch (event.kind()) {
          case ARRIVE -> arrive(event.id());
          case FINISH -> queue.finish(event.id(), now);
          default -> queue.setSlots(SLOTS * 2 / 3);
        }
        queue.poll(now).forEach(this::decided);
      }
      return this;
    }

    private void arrive(long id) {
      double gap = -Math.log(1 - random.nextDouble()) / ratePerSecond;
      add(now + (long) (gap * SECOND), Kind.ARRIVE, id + 1);
      AdmissionRequest request =
          new AdmissionRequest(
              id,
              new CustomerId("c" + random.nextInt(8)),
              1,
              priority(random.nextInt(20)),
              1_000,
              EXPECTED_TTFT,
              now + DEADLINE);
      requests.put(id, request);
      if (now >= countFrom) {
        tallies.get(request.priority()).offered++;
      }
      queue.offer(request, now);
    }

    // Shares of the classes: 15%, 35% and 50%.
    private static Priority priority(int drawn) {
      if (drawn < 3) {
        return Priority.URGENT;
      }
      return drawn < 10 ? Priority.INTERACTIVE : Priority.BATCH;
    }

    private void decided(AdmissionDecision decision) {
      AdmissionRequest request = requests.remove(decision.id());
      if (!(decision instanceof AdmissionDecision.Dispatch)) {
        return;
      }
      long service = MEAN_SERVICE / 2 + random.nextLong(MEAN_SERVICE);
      long ttft = EXPECTED_TTFT / 2 + random.nextLong(EXPECTED_TTFT);
      add(now + service, Kind.FINISH, request.id());
      boolean counted = request.deadlineNanos() - DEADLINE >= countFrom;
      if (counted && now + ttft <= request.deadlineNanos()) {
        tallies.get(request.priority()).good++;
      }
    }

    private int goodput() {
      return tallies.values().stream().mapToInt(tally -> tally.good).sum();
    }

    private double ratio(Priority priority) {
      return tallies.get(priority).ratio();
    }
  }

  private static int goodput(double load) {
    return new Load(51, load, 0).run().goodput();
  }

  @Test
  void goodputAtTwiceTheLoadIsAtLeastNinetyPercentOfThePeak() {
    int peak = 0;
    for (double load = 0.5; load <= 2.001; load += 0.1) {
      peak = Math.max(peak, goodput(load));
    }
    int twice = goodput(2);
    System.out.printf("goodput in %d s: peak %d, at 2x %d%n", LENGTH / SECOND, peak, twice);
    assertThat(twice).isGreaterThanOrEqualTo(peak * 9 / 10);
    assertThat(peak).isGreaterThan((int) (0.9 * CAPACITY_PER_SECOND * LENGTH / SECOND));
  }

  /** The same load in arrival order without deadlines collapses, so the test above can fail. */
  @Test
  void firstInFirstOutCollapsesUnderTheSameLoad() {
    SplittableRandom random = new SplittableRandom(51);
    Deque<Long> finishing = new ArrayDeque<>();
    int good = 0;
    double at = 0;
    while (at < LENGTH) {
      at += -Math.log(1 - random.nextDouble()) / (2 * CAPACITY_PER_SECOND) * SECOND;
      long start = (long) at;
      if (finishing.size() == SLOTS) {
        start = Math.max(start, finishing.removeFirst());
      }
      finishing.addLast(start + MEAN_SERVICE);
      good += start + EXPECTED_TTFT <= at + DEADLINE && start < LENGTH ? 1 : 0;
    }
    assertThat(good).isLessThan(goodput(2) / 2);
  }

  @Test
  void losingOneOfThreeServersDegradesByClass() {
    Load load = new Load(52, 0.9, LOSS_AT + SECOND);
    load.add(LOSS_AT, Kind.LOSE_SERVER, 0);
    load.run();
    System.out.printf(
        "served after loss: urgent %.4f, interactive %.4f, batch %.4f%n",
        load.ratio(Priority.URGENT), load.ratio(Priority.INTERACTIVE), load.ratio(Priority.BATCH));
    assertThat(load.ratio(Priority.URGENT)).isGreaterThan(0.99);
    assertThat(load.ratio(Priority.INTERACTIVE)).isGreaterThan(0.99);
    assertThat(load.ratio(Priority.BATCH)).isBetween(0.2, 0.7);
  }
}
