package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against one customer, size or urgency that crowds out the others while requests compete
 * for too little room, and against requests that are taken in only to be dropped.
 */
class OverloadOrderTest {
  private static final int SHORT = 2;
  private static final int LONG = 3;
  private static final int LESS_URGENT = 5;

  private static Predicate<DispatchRequest> customer(String name) {
    return request -> request.customer().orElseThrow().equals(name);
  }

  private static Predicate<DispatchRequest> urgency(int urgency) {
    return request -> request.urgency() == urgency;
  }

  private static Predicate<DispatchRequest> longerThan(int tokens) {
    return request -> request.promptTokens() > tokens;
  }

  /** Guards deployments whose customers have no quotas against another order than before. */
  @Test
  void requestsWaitInTheOrderOfTheirArrivalWhileCustomersAreNotLimited() {
    DispatchQueue queue = new DispatchQueue();
    queue.setRationed(false);
    List<String> expected = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      DispatchRequest request = SharedServers.request("r" + number, number % 3 == 0 ? "a" : "b");
      queue.recordRequest(request, number);
      queue.tryAdd(request, Set.of(), false, 100, number);
      expected.add(request.id());
    }
    assertThat(queue.entriesInOrder())
        .extracting(entry -> entry.request().id())
        .isEqualTo(expected);
    assertThat(queue.removeHopeless(100 * Fixtures.SECOND)).isEmpty();
    assertThat(queue.removeExpired(Fixtures.SECOND)).hasSize(20);
  }

  /** Load pattern: one customer sends four times its usual for 5 s. */
  @Test
  void customerBeyondItsUsualDemandGivesWayFirst() {
    SharedServers servers = new SharedServers(2, 100);
    Random random = new Random(41);
    for (int step = 0; step < 2_500; step++) {
      if (random.nextDouble() < 0.5) {
        servers.send(random.nextInt(2), "steady", SHORT, 0, 1_500);
      }
      if (random.nextDouble() < (step < 2_000 ? 0.25 : 1)) {
        servers.send(random.nextInt(2), "sudden", SHORT, 0, 1_500);
      }
      servers.step();
    }
    servers.run(2_000);
    Predicate<DispatchRequest> inBurst = request -> request.arrivalNanos() >= 20 * Fixtures.SECOND;
    assertThat(servers.servedShare(customer("steady").and(inBurst))).isGreaterThan(0.98);
    // It keeps at least the room that the others leave.
    assertThat(servers.count(SharedServers.Outcome.SERVED, customer("sudden")))
        .isGreaterThan(500 + 200);
    assertThat(servers.count(SharedServers.Outcome.DROPPED, any -> true))
        .isLessThan(servers.count(SharedServers.Outcome.REFUSED_AT_ONCE, any -> true) / 2);
  }

  /** Load pattern: twice the long prompts for 5 s, which are less urgent than the short ones. */
  @Test
  void urgentRequestsDoNotFallBehindTwiceTheLongPrompts() {
    SharedServers servers = new SharedServers(2, 100_000);
    for (int step = 0; step < 500; step++) {
      if (step % 4 == 0) {
        servers.send(step / 4 % 2, "a", SHORT, 1_950, 3_000);
      }
      if (step % 5 == 0) {
        servers.send(step / 5 % 2, "a", LESS_URGENT, 11_950, 12_000);
      }
      servers.step();
    }
    servers.run(12_000);
    assertThat(servers.servedShare(urgency(SHORT))).isGreaterThan(0.98);
    // What the short ones leave is 50,000 tokens a second, for 240,000 that are asked for.
    assertThat(servers.count(SharedServers.Outcome.SERVED, urgency(LESS_URGENT))).isGreaterThan(20);
  }

  /** Load pattern: twice as many short prompts as can be served, of which a tenth is long. */
  @Test
  void largestTenthIsServedAtLeastHalfAsOften() {
    SharedServers servers = new SharedServers(1, 100_000);
    for (int step = 0; step < 2_000; step++) {
      boolean large = step % 10 == 7;
      servers.send(0, "c" + step % 7, large ? LONG : SHORT, large ? 4_950 : 1_450, 3_000);
      servers.step();
    }
    servers.run(3_000);
    assertThat(servers.servedShare(longerThan(4_000)))
        .isGreaterThan(servers.servedShare(longerThan(0)) / 2);
  }

  /** Load pattern: many short ones at once, again and again. */
  @Test
  void requestsThatCannotBeServedInTimeAreRefusedAtOnce() {
    SharedServers servers = new SharedServers(2, 100);
    for (int burst = 0; burst < 5; burst++) {
      for (int i = 0; i < 400; i++) {
        servers.send(i % 2, "c" + i % 5, SHORT, 0, 3_000);
      }
      servers.run(4_000);
    }
    long refused = servers.count(SharedServers.Outcome.REFUSED_AT_ONCE, any -> true);
    long dropped = servers.count(SharedServers.Outcome.DROPPED, any -> true);
    assertThat(refused).isGreaterThan(dropped);
    assertThat(servers.count(SharedServers.Outcome.SERVED, any -> true)).isGreaterThan(5 * 90);
  }

  /** Load pattern: half of the instances have all the callers. */
  @Test
  void unevenCallersAreServedWithTheWholeCapacity() {
    for (boolean announced : new boolean[] {true, false}) {
      SharedServers servers = new SharedServers(4, 100);
      if (!announced) {
        servers.loseAnnouncements();
      }
      for (int step = 0; step < 2_000; step++) {
        servers.send(step % 2, "c" + step % 5, SHORT, 0, 1_500);
        if (step % 2 == 0) {
          servers.send(step / 2 % 2, "c" + step % 5, SHORT, 0, 1_500);
        }
        servers.step();
      }
      servers.run(2_000);
      // 3,000 requests meet room for 2,000.
      assertThat(servers.count(SharedServers.Outcome.SERVED, any -> true)).isGreaterThan(1_900);
      assertThat(servers.count(SharedServers.Outcome.DROPPED, any -> true))
          .isLessThan(servers.count(SharedServers.Outcome.REFUSED_AT_ONCE, any -> true) / 2);
    }
  }
}
