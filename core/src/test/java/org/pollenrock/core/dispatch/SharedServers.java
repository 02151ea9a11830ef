package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queues of several instances whose requests wait for the same servers, which finish a fixed amount
 * of work in a second. Time passes in steps of 10 ms; nothing is random.
 */
final class SharedServers {
  private static final long STEP = 10 * Fixtures.MILLI;
  private static final int MANY_SLOTS = 10_000;

  /** What became of a request. */
  enum Outcome {
    SERVED,
    REFUSED_AT_ONCE,
    DROPPED
  }

  private final List<DispatchQueue> queues = new ArrayList<>();
  private final Map<DispatchRequest, Outcome> outcomes = new HashMap<>();
  private final double workPerStep;
  private boolean announcing = true;
  private double credit;
  private int nextQueue;
  private int created;
  private long now;

  SharedServers(int instances, double workPerSecond) {
    workPerStep = workPerSecond * STEP / Fixtures.SECOND;
    for (int i = 0; i < instances; i++) {
      queues.add(new DispatchQueue());
    }
  }

  void loseAnnouncements() {
    announcing = false;
  }

  boolean isMillisecond(long interval) {
    return now / Fixtures.MILLI % interval == 0;
  }

  /**
   * Sends a request to an instance; the servers are always busy, so that it waits or is refused.
   */
  void send(int instance, String customer, int urgency, int tokens, long deadlineMillis) {
    Optional<Prompt> prompt =
        tokens == 0
            ? Optional.empty()
            : Optional.of(Fixtures.prompt("shared", tokens / 2, tokens - tokens / 2));
    DispatchRequest request =
        new DispatchRequest(
            "r" + created++,
            "service",
            Optional.empty(),
            prompt,
            Optional.empty(),
            Optional.of(customer),
            urgency,
            true,
            600,
            now,
            now + deadlineMillis * Fixtures.MILLI);
    queues.get(instance).recordRequest(request, now);
    if (queues.get(instance).tryAdd(request, Set.of(), false, MANY_SLOTS, now)
        instanceof DispatchResult.Refused) {
      outcomes.put(request, Outcome.REFUSED_AT_ONCE);
    }
  }

  /** Returns a plain request of a customer that arrives at time 0 and may take two seconds. */
  static DispatchRequest request(String id, String customer) {
    return new DispatchRequest(
        id,
        "service",
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.of(customer),
        5,
        true,
        600,
        0,
        2 * Fixtures.SECOND);
  }

  void step() {
    now += STEP;
    credit += workPerStep;
    for (int idle = 0; idle < queues.size() && credit > 0; ) {
      DispatchQueue queue = queues.get(nextQueue++ % queues.size());
      idle = serveOne(queue) ? 0 : idle + 1;
    }
    credit = Math.min(credit, workPerStep);
    if (isMillisecond(50)) {
      queues.forEach(this::sweep);
    }
    if (isMillisecond(100) && announcing) {
      announce();
    }
  }

  void run(long millis) {
    for (long end = now + millis * Fixtures.MILLI; now < end; ) {
      step();
    }
  }

  long count(Outcome outcome, Predicate<DispatchRequest> which) {
    return outcomes.entrySet().stream()
        .filter(each -> each.getValue() == outcome && which.test(each.getKey()))
        .count();
  }

  double servedShare(Predicate<DispatchRequest> which) {
    long all = outcomes.keySet().stream().filter(which).count();
    return (double) count(Outcome.SERVED, which) / all;
  }

  private boolean serveOne(DispatchQueue queue) {
    if (queue.size() == 0) {
      return false;
    }
    QueueEntry first = queue.entriesInOrder().getFirst();
    queue.dispatch(first, now);
    queue.backlog().recordCompletion(first.request(), now);
    outcomes.put(first.request(), Outcome.SERVED);
    credit -= first.request().work();
    return true;
  }

  private void sweep(DispatchQueue queue) {
    queue.removeExpired(now).forEach(each -> outcomes.put(each.request(), Outcome.DROPPED));
    queue.promoteLongPrompts(now);
    queue.removeHopeless(now).forEach(each -> outcomes.put(each.request(), Outcome.DROPPED));
  }

  private void announce() {
    for (DispatchQueue from : queues) {
      for (WaitingWork waiting : from.backlog().waitingWork("service", now)) {
        queues.stream()
            .filter(to -> to != from)
            .forEach(to -> to.backlog().applyPeerWaiting("p" + queues.indexOf(from), waiting, now));
      }
    }
  }
}
