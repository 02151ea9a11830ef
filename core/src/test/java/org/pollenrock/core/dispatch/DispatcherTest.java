package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.CrashSuspects;
import org.pollenrock.core.quarantine.IgnoredAnnouncements;

/**
 * Guards against urgent requests that starve, queues that grow without bound, and refusals without
 * a retry delay.
 */
class DispatcherTest {
  private final Fleet fleet = new Fleet();
  private final CrashQuarantine quarantine = new CrashQuarantine(new IgnoredAnnouncements());
  private final Dispatcher dispatcher = Fixtures.dispatcher(fleet, quarantine, 10);

  private static DispatchRequest request(String id, int urgency, long nowNanos) {
    return Fixtures.request(id, Optional.empty(), urgency, nowNanos);
  }

  private List<Backend> fillServer(int slots) {
    fleet.applyEntry(Fixtures.plainServer("a", "near", slots), 0);
    List<Backend> busyServers = new ArrayList<>();
    while (dispatcher.submit(request("fill", 5, 0), 0) instanceof DispatchResult.Sent sent) {
      busyServers.add(sent.choice().backend());
    }
    return busyServers;
  }

  @Test
  void requestWithoutAServerIsRefusedAtOnce() {
    assertThat(dispatcher.submit(request("r", 0, 0), 0))
        .isEqualTo(new DispatchResult.Refused(DispatchResult.Cause.NO_SERVER));
  }

  /** Load pattern: a burst on a small service while all its slots are in use. */
  @Test
  void urgentRequestsLeaveTheQueueFirst() {
    List<Backend> busyServers = fillServer(2);
    dispatcher.submit(request("late", 5, 1), 1);
    dispatcher.submit(request("urgent", 0, 2), 2);
    busyServers.get(0).recordRequestEnd(0, false);
    List<DispatchResult.Released> released = dispatcher.dispatchWaiting("ledger", 3);
    assertThat(released)
        .extracting(release -> release.entry().request().id())
        .containsExactly("urgent");
  }

  /** Load pattern: sustained overload, in which the queue must stay bounded. */
  @Test
  void queueIsBoundedForEachUrgency() {
    fillServer(2);
    int queued = 0;
    while (dispatcher.submit(request("r" + queued, 5, 1), 1) instanceof DispatchResult.Queued) {
      queued++;
    }
    assertThat(queued).isBetween(1, 8);
    assertThat(dispatcher.submit(request("urgent", 0, 1), 1))
        .isInstanceOf(DispatchResult.Queued.class);
  }

  @Test
  void waitingRequestExpiresLongBeforeItsDeadline() {
    fillServer(2);
    DispatchRequest request = request("r", 5, 0);
    dispatcher.submit(request, 0);
    long before = request.deadlineNanos() / 2;
    assertThat(dispatcher.removeExpired(before))
        .extracting(entry -> entry.request().id())
        .contains("r");
    assertThat(dispatcher.waitingRequests()).isZero();
    assertThat(AdmissionPolicy.retryAfterMillis(request, before))
        .isPositive()
        .isLessThanOrEqualTo((request.deadlineNanos() - before) / Fixtures.MILLI / 3);
  }

  @Test
  void resendsStopWhenTheBudgetIsUsedUp() {
    dispatcher.setInstanceCount(1);
    fleet.applyEntry(Fixtures.plainServer("a", "near", 500), 0);
    DispatchRequest request = request("r", 5, 0);
    int resends = 0;
    while (dispatcher.resubmit(request, Set.of(), true, 0) instanceof DispatchResult.Sent) {
      resends++;
    }
    assertThat(resends).isBetween(5, 10);
    assertThat(dispatcher.resubmit(request, Set.of(), false, 0))
        .isInstanceOf(DispatchResult.Sent.class);
  }

  /** Load pattern: servers are full or pause, so that a resend would be refused too. */
  @Test
  void resendThatWaitsIsChargedOnlyWhenItIsSent() {
    dispatcher.setInstanceCount(1);
    List<Backend> busyServers = fillServer(2);
    int resendsLeft = dispatcher.remainingResends(1);
    assertThat(dispatcher.resubmit(request("again", 5, 1), Set.of("b"), true, 1))
        .isInstanceOf(DispatchResult.Queued.class);
    assertThat(dispatcher.remainingResends(1)).isEqualTo(resendsLeft);
    busyServers.forEach(server -> server.recordRequestEnd(0, false));
    assertThat(dispatcher.dispatchWaiting("ledger", 2))
        .extracting(release -> release.entry().request().id())
        .contains("again");
    assertThat(dispatcher.remainingResends(2)).isEqualTo(resendsLeft - 1);
  }

  /** A part that crashes engines must not reach one by a new request or a resend. */
  @Test
  void requestsWithAQuarantinedPartAreRefusedWithoutRetryBudget() {
    fleet.applyEntry(Fixtures.engine("a", "near", 1), 0);
    DispatchRequest request = promptRequest("r", "bad", 0);
    assertThat(dispatcher.submit(request, 0)).isInstanceOf(DispatchResult.Sent.class);
    int resendsLeft = dispatcher.remainingResends(1);
    quarantine.applyQuarantine(CrashSuspects.hash(Fixtures.MODEL, "bad"), 1);
    DispatchResult refused = new DispatchResult.Refused(DispatchResult.Cause.QUARANTINED);
    assertThat(dispatcher.submit(request, 1)).isEqualTo(refused);
    assertThat(dispatcher.resubmit(request, Set.of(), true, 1)).isEqualTo(refused);
    assertThat(dispatcher.remainingResends(1)).isEqualTo(resendsLeft);
    assertThat(dispatcher.submit(promptRequest("r", "sound", 0), 1))
        .isInstanceOf(DispatchResult.Sent.class);
  }

  /** A part that crashes engines must not reach one from the queue. */
  @Test
  void waitingRequestsWithAQuarantinedPartLeaveTheQueue() {
    fleet.applyEntry(Fixtures.engine("a", "near", 1), 0);
    while (dispatcher.submit(promptRequest("fill", "sound", 0), 0) instanceof DispatchResult.Sent) {
      assertThat(dispatcher.waitingRequests()).isZero();
    }
    dispatcher.submit(promptRequest("bad", "bad", 0), 0);
    int waiting = dispatcher.waitingRequests();
    assertThat(dispatcher.removeQuarantined("llm", 1)).isEmpty();
    quarantine.applyQuarantine(CrashSuspects.hash(Fixtures.MODEL, "bad"), 1);
    assertThat(dispatcher.removeQuarantined("llm", 1))
        .extracting(entry -> entry.request().id())
        .containsExactly("bad");
    assertThat(dispatcher.waitingRequests()).isEqualTo(waiting - 1);
  }

  /** Requests that wait together must not all try a part that may crash engines. */
  @Test
  void oneWaitingRequestTriesAQuarantinedPart() {
    long second = 1_000_000_000L;
    long part = CrashSuspects.hash(Fixtures.MODEL, "hot");
    quarantine.applyStoredQuarantine(part, 0, true, 0);
    fleet.applyEntry(Fixtures.engine("a", "near", 1), 0);
    List<Backend> busyServers = new ArrayList<>();
    while (dispatcher.submit(promptRequest("fill", "sound", 0), 20 * second)
        instanceof DispatchResult.Sent sent) {
      busyServers.add(sent.choice().backend());
    }
    dispatcher.submit(promptRequest("first", "hot", 0), 20 * second);
    dispatcher.submit(promptRequest("second", "hot", 0), 20 * second);
    busyServers.forEach(server -> server.recordRequestEnd(0, true));
    assertThat(dispatcher.dispatchWaiting("llm", 20 * second))
        .extracting(released -> released.entry().request().id())
        .contains("first")
        .doesNotContain("second");
    assertThat(dispatcher.removeQuarantined("llm", 20 * second))
        .extracting(entry -> entry.request().id())
        .containsExactly("second");
  }

  /** A send must not be given up for a server that can't take the request. */
  @Test
  void claimWithoutAServerLeavesTheRetryBudget() {
    dispatcher.setInstanceCount(1);
    DispatchRequest request = request("r", 5, 0);
    dispatcher.submit(request, 0);
    fleet.applyEntry(Fixtures.plainServer("present", "near", 4), 0);
    fleet.applyEntry(Fixtures.plainServer("missing", "near", 4), 0);
    fleet.applyEntry(Fixtures.plainServer("refusing", "near", 4), 0);
    for (Backend server : fleet.all()) {
      if (server.entry().id().equals("missing")) {
        server.recordUnreachable(0);
      } else if (server.entry().id().equals("refusing")) {
        server.recordRefusal(0);
      }
    }
    int resendsLeft = dispatcher.remainingResends(1);
    assertThat(dispatcher.claimReplacement(request, Set.of("present"), 1)).isEmpty();
    assertThat(dispatcher.remainingResends(1)).isEqualTo(resendsLeft);
    assertThat(dispatcher.waitingRequests()).isZero();
  }

  /** A send must not be given up without a part of the budget that all instances share. */
  @Test
  void claimsStayWithinTheRetryBudgetOfAllInstances() {
    for (int instances : new int[] {1, 4, 38, 396}) {
      dispatcher.setInstanceCount(instances);
      fleet.applyEntry(Fixtures.plainServer("other", "near", 500), 0);
      long now = instances * 20 * Fixtures.SECOND;
      int claims = 0;
      while (dispatcher.claimReplacement(request("r", 5, now), Set.of(), now).isPresent()) {
        claims++;
      }
      assertThat(claims * instances).isLessThanOrEqualTo(10);
      Backend other = fleet.all().iterator().next();
      int inFlight = other.inFlightCount();
      assertThat(dispatcher.claimReplacement(request("r", 5, now), Set.of(), now)).isEmpty();
      assertThat(other.inFlightCount()).isEqualTo(inFlight);
    }
  }

  @Test
  void claimTakesAnotherServer() {
    dispatcher.setInstanceCount(1);
    fleet.applyEntry(Fixtures.plainServer("present", "near", 4), 0);
    fleet.applyEntry(Fixtures.plainServer("other", "near", 4), 0);
    assertThat(dispatcher.claimReplacement(request("r", 5, 0), Set.of("present"), 0))
        .hasValueSatisfying(
            chosen -> {
              assertThat(chosen.backend().entry().id()).isEqualTo("other");
              assertThat(chosen.backend().inFlightCount()).isEqualTo(1);
            });
  }

  private static DispatchRequest promptRequest(String id, String partId, long nowNanos) {
    return Fixtures.request(id, Optional.of(Fixtures.prompt(partId, 100, 20)), 3, nowNanos);
  }
}
