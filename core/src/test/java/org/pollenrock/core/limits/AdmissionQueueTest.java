package org.pollenrock.core.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;

/**
 * Guards against unfair dispatch, against the dispatch of refused requests, and against slots that
 * are used by requests that cannot meet their deadline.
 */
class AdmissionQueueTest {
  private static final long MS = 1_000_000L;
  private static final long NO_DEADLINE = AdmissionRequest.NO_DEADLINE;

  private static AdmissionRequest request(long id, String customer, Priority priority) {
    return new AdmissionRequest(id, new CustomerId(customer), 1, priority, 10, 0, NO_DEADLINE);
  }

  private static List<Long> pollDispatchedIds(AdmissionQueue queue, long now) {
    return queue.poll(now).stream()
        .filter(AdmissionDecision.Dispatch.class::isInstance)
        .map(AdmissionDecision::id)
        .toList();
  }

  private static ErrorCode refusalCode(AdmissionDecision decision) {
    assertThat(decision).isInstanceOf(AdmissionDecision.Refuse.class);
    return ((AdmissionDecision.Refuse) decision).refusal().code();
  }

  @Test
  void higherClassesAreDispatchedFirstAndBatchLeavesReservedSlotsFree() {
    AdmissionQueue queue = new AdmissionQueue(new AdmissionSettings(1, 10, 10, MS), 3);
    queue.offer(request(1, "a", Priority.BATCH), 0);
    queue.offer(request(2, "a", Priority.BATCH), 0);
    queue.offer(request(3, "a", Priority.BATCH), 0);
    queue.offer(request(4, "a", Priority.URGENT), 0);
    assertThat(pollDispatchedIds(queue, 0)).containsExactly(4L, 1L);
    queue.offer(request(5, "a", Priority.INTERACTIVE), 0);
    assertThat(pollDispatchedIds(queue, 0)).containsExactly(5L);
    assertThat(queue.finish(4, 0)).isTrue();
    assertThat(queue.finish(4, 0)).isFalse();
    assertThat(pollDispatchedIds(queue, 0)).isEmpty();
    queue.finish(5, 0);
    assertThat(pollDispatchedIds(queue, 0)).containsExactly(2L);
  }

  @Test
  void unreachableDeadlineIsRefusedOnArrivalAndLateRequestIsRefusedByPoll() {
    AdmissionQueue queue = new AdmissionQueue(new AdmissionSettings(0, 10, 10, 100 * MS), 1);
    queue.offer(request(1, "a", Priority.URGENT), 0);
    pollDispatchedIds(queue, 0);
    AdmissionRequest tooLate =
        new AdmissionRequest(2, new CustomerId("a"), 1, Priority.URGENT, 1, 50 * MS, 150 * MS - 1);
    assertThat(refusalCode(queue.offer(tooLate, 0))).isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
    AdmissionRequest inTime =
        new AdmissionRequest(3, new CustomerId("a"), 1, Priority.URGENT, 1, 50 * MS, 150 * MS);
    assertThat(queue.offer(inTime, 0)).isEqualTo(new AdmissionDecision.Queue(3, 100 * MS));
    assertThat(queue.poll(100 * MS)).isEmpty();
    queue.finish(1, 100 * MS + 1);
    List<AdmissionDecision> decisions = queue.poll(100 * MS + 1);
    assertThat(decisions).hasSize(1);
    assertThat(refusalCode(decisions.getFirst())).isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
  }

  @Test
  void fullQueueRefusesTheLowestClassFirst() {
    AdmissionQueue queue = new AdmissionQueue(new AdmissionSettings(0, 2, 3, MS), 1);
    queue.offer(request(1, "a", Priority.URGENT), 0);
    pollDispatchedIds(queue, 0);
    queue.offer(request(2, "a", Priority.BATCH), 0);
    queue.offer(request(3, "b", Priority.INTERACTIVE), 0);
    queue.offer(request(4, "b", Priority.INTERACTIVE), 0);
    assertThat(refusalCode(queue.offer(request(5, "b", Priority.URGENT), 0)))
        .isEqualTo(ErrorCode.OVERLOADED);
    assertThat(queue.offer(request(6, "c", Priority.URGENT), 0))
        .isInstanceOf(AdmissionDecision.Queue.class);
    assertThat(queue.poll(0)).extracting(AdmissionDecision::id).containsExactly(2L);
    assertThat(refusalCode(queue.offer(request(7, "d", Priority.BATCH), 0)))
        .isEqualTo(ErrorCode.OVERLOADED);
    assertThat(queue.offer(request(8, "d", Priority.INTERACTIVE), 0))
        .isInstanceOf(AdmissionDecision.Queue.class);
    assertThat(queue.poll(0)).extracting(AdmissionDecision::id).containsExactly(4L);
  }

  @Test
  void classWithoutSlotsIsRefusedAndACancelledRequestIsNotDispatched() {
    AdmissionQueue queue = new AdmissionQueue(new AdmissionSettings(2, 2, 3, MS), 2);
    assertThat(refusalCode(queue.offer(request(1, "a", Priority.BATCH), 0)))
        .isEqualTo(ErrorCode.OVERLOADED);
    queue.offer(request(2, "a", Priority.URGENT), 0);
    assertThatThrownBy(() -> queue.offer(request(2, "a", Priority.URGENT), 0))
        .isInstanceOf(IllegalArgumentException.class);
    assertThat(queue.cancel(2)).isTrue();
    assertThat(queue.cancel(2)).isFalse();
    assertThat(queue.poll(0)).isEmpty();
    queue.setSlots(0);
    assertThat(refusalCode(queue.offer(request(3, "a", Priority.URGENT), 0)))
        .isEqualTo(ErrorCode.OVERLOADED);
  }

  @Test
  void newCustomerIsServedBeforeTheSecondRequestOfAnyOtherCustomer() {
    int busyCustomers = 50;
    AdmissionQueue queue = new AdmissionQueue(new AdmissionSettings(0, 100, 10_000, MS), 1);
    long id = 0;
    for (int i = 0; i < busyCustomers * 20; i++) {
      queue.offer(request(id++, "heavy-" + i % busyCustomers, Priority.BATCH), 0);
    }
    long running = pollDispatchedIds(queue, 0).getFirst();
    AdmissionRequest light =
        new AdmissionRequest(
            id, new CustomerId("light"), 0.001, Priority.BATCH, 10, 0, NO_DEADLINE);
    queue.offer(light, 0);
    int dispatchedBefore = 0;
    while (running != id) {
      queue.finish(running, 0);
      running = pollDispatchedIds(queue, 0).getFirst();
      dispatchedBefore++;
    }
    assertThat(dispatchedBefore).isLessThanOrEqualTo(busyCustomers + 1);
  }

  @Provide
  Arbitrary<List<Integer>> stepSequences() {
    return Arbitraries.integers()
        .between(0, 999_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(150)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  /** While two customers wait, their service per weight differs by at most one request of each. */
  @Property(seed = "4113", tries = 1_000, shrinking = ShrinkingMode.BOUNDED)
  void serviceOfWaitingCustomersStaysInProportionToTheirWeights(
      @ForAll("stepSequences") List<Integer> steps) {
    AdmissionQueue queue = new AdmissionQueue(new AdmissionSettings(0, 10_000, 100_000, MS), 1);
    double[] weights = {1, 2.5, 7};
    long[] maxCosts = new long[weights.length];
    double[] served = new double[weights.length];
    Map<Long, Integer> costs = new HashMap<>();
    for (int i = 0; i < steps.size() * weights.length; i++) {
      int customerIndex = i % weights.length;
      int cost = 1 + steps.get(i / weights.length) % (97 + customerIndex);
      costs.put((long) i, cost);
      maxCosts[customerIndex] = Math.max(maxCosts[customerIndex], cost);
      CustomerId customer = new CustomerId("c" + customerIndex);
      queue.offer(
          new AdmissionRequest(
              i, customer, weights[customerIndex], Priority.BATCH, cost, 0, NO_DEADLINE),
          0);
    }
    for (int step = 0; step < steps.size(); step++) {
      long id = pollDispatchedIds(queue, 0).getFirst();
      queue.finish(id, 0);
      served[(int) (id % weights.length)] += costs.get(id);
      for (int a = 0; a < weights.length; a++) {
        for (int b = 0; b < a; b++) {
          assertThat(Math.abs(served[a] / weights[a] - served[b] / weights[b]))
              .isLessThanOrEqualTo(maxCosts[a] / weights[a] + maxCosts[b] / weights[b] + 1e-9);
        }
      }
    }
  }

  /**
   * Compares every decision with the reference queue, and checks that a refused request is never
   * dispatched later.
   */
  @Property(seed = "4114", tries = 5_000, shrinking = ShrinkingMode.BOUNDED)
  void decidesLikeReferenceQueueAndNeverDispatchesRefusedRequests(
      @ForAll("stepSequences") List<Integer> steps) {
    AdmissionSettings settings = new AdmissionSettings(1, 5, 12, MS);
    AdmissionQueue queue = new AdmissionQueue(settings, 3);
    ReferenceAdmissionQueue reference = new ReferenceAdmissionQueue(settings, 3);
    Set<Long> refused = new HashSet<>();
    List<Long> running = new ArrayList<>();
    long now = 0;
    long id = 0;
    for (int step : steps) {
      int argument = step / 10;
      switch (step % 10) {
        case 0 -> now += argument % 50 * MS / 10;
        case 1, 2 -> {
          if (!running.isEmpty()) {
            queue.finish(running.remove(argument % running.size()), now);
            reference.finishOne();
          }
        }
        case 3 -> {
          queue.setSlots(argument % 5);
          reference.setSlots(argument % 5);
        }
        case 4 -> cancelOne(queue, reference, argument);
        default -> offer(queue, reference, generatedRequest(id++, argument, now), now, refused);
      }
      List<Long> expectedRefusals = new ArrayList<>();
      List<Long> expectedDispatches = reference.poll(now, expectedRefusals);
      List<AdmissionDecision> decisions = queue.poll(now);
      List<Long> expected = new ArrayList<>(expectedRefusals);
      expected.addAll(expectedDispatches);
      assertThat(decisions).extracting(AdmissionDecision::id).containsExactlyElementsOf(expected);
      refused.addAll(expectedRefusals);
      running.addAll(expectedDispatches);
      assertThat(Collections.disjoint(expectedDispatches, refused)).isTrue();
      assertThat(queue.waitingCount()).isEqualTo(reference.waiting().size());
      assertThat(queue.runningCount()).isEqualTo(running.size());
    }
  }

  // Weights and costs are powers of two, so that tags are computed without rounding and the queue
  // and the reference break the same ties.
  private static AdmissionRequest generatedRequest(long id, int argument, long now) {
    int customer = argument % 4;
    Priority priority = Priority.values()[argument / 4 % 3];
    long cost = 1L << argument / 12 % 4;
    long deadline = argument / 48 % 3 == 0 ? now + argument / 144 % 20 * MS : NO_DEADLINE;
    return new AdmissionRequest(
        id, new CustomerId("c" + customer), 1L << customer, priority, cost, MS / 2, deadline);
  }

  private static void cancelOne(
      AdmissionQueue queue, ReferenceAdmissionQueue reference, int argument) {
    List<AdmissionRequest> waiting = reference.waiting();
    if (!waiting.isEmpty()) {
      AdmissionRequest cancelled = waiting.get(argument % waiting.size());
      assertThat(queue.cancel(cancelled.id())).isTrue();
      reference.remove(cancelled);
    }
  }

  // The reference queue does not estimate waits, so a refusal for an unreachable deadline is not
  // compared with it. AdmissionLoadTest covers the estimate.
  private static void offer(
      AdmissionQueue queue,
      ReferenceAdmissionQueue reference,
      AdmissionRequest request,
      long now,
      Set<Long> refused) {
    AdmissionDecision decision = queue.offer(request, now);
    if (decision instanceof AdmissionDecision.Refuse refuse) {
      refused.add(request.id());
      if (refuse.refusal().code() == ErrorCode.DEADLINE_UNREACHABLE) {
        assertThat(request.deadlineNanos()).isNotEqualTo(NO_DEADLINE);
        return;
      }
    }
    assertThat(decision instanceof AdmissionDecision.Queue).isEqualTo(reference.offer(request));
  }
}
