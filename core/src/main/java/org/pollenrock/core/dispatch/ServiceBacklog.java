package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.pollenrock.core.route.Route;

/**
 * Work that waits for the servers of one service, at this instance and at others, and how fast it
 * is finished.
 *
 * <p>Each urgency is counted by itself: more urgent requests show in the rate at which the work of
 * an urgency is finished. Waiting work and rates are added up over the instances that announce
 * both. Instances without waiting requests take no part in either sum.
 */
final class ServiceBacklog {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Longest expected wait, which is beyond any deadline. */
  private static final long MAX_WAIT_NANOS = 3_600_000_000_000L;

  private final int[] requests = new int[Route.LEAST_URGENT + 1];
  private final long[] work = new long[Route.LEAST_URGENT + 1];
  private final WorkRate[] rates = new WorkRate[Route.LEAST_URGENT + 1];
  private final PeerBacklogs[] peers = new PeerBacklogs[Route.LEAST_URGENT + 1];

  ServiceBacklog() {
    for (int urgency = 0; urgency <= Route.LEAST_URGENT; urgency++) {
      rates[urgency] = new WorkRate();
      peers[urgency] = new PeerBacklogs();
    }
  }

  /** Records that a request waits from now on. */
  void recordQueued(DispatchRequest request, long nowNanos) {
    int urgency = request.urgency();
    if (requests[urgency]++ == 0) {
      rates[urgency].startWaiting(nowNanos);
    }
    work[urgency] += request.work();
  }

  /** Records that a request waits no longer. */
  void recordUnqueued(DispatchRequest request, long nowNanos) {
    int urgency = request.urgency();
    work[urgency] -= request.work();
    if (--requests[urgency] == 0) {
      rates[urgency].endWaiting(nowNanos);
    }
  }

  /** Records that a request has its complete response. */
  void recordCompletion(DispatchRequest request, long nowNanos) {
    rates[request.urgency()].recordCompletion(request.work(), nowNanos);
  }

  /** Applies what another instance announces. */
  void applyPeerWaiting(String peer, WaitingWork waiting, long nowNanos) {
    if (waiting.urgency() >= 0
        && waiting.urgency() <= Route.LEAST_URGENT
        && Double.isFinite(waiting.workPerSecond())) {
      peers[waiting.urgency()].update(peer, waiting, nowNanos);
    }
  }

  /**
   * Returns the time until a request is dispatched that has some of this instance's waiting work
   * ahead of it. The queues of other instances are assumed to be at the same place.
   *
   * @param urgency urgency of the request
   * @param workAhead waiting work of the same urgency ahead of it
   * @param nowNanos current time
   * @return time in nanoseconds; empty if it is not known how fast work is finished
   */
  OptionalLong expectedWaitNanos(int urgency, long workAhead, long nowNanos) {
    OptionalDouble ownRate = rates[urgency].perSecond(nowNanos);
    if (ownRate.isEmpty()) {
      return OptionalLong.empty();
    }
    if (workAhead == 0) {
      return OptionalLong.of(0);
    }
    PeerBacklogs.Totals others = peers[urgency].totals(nowNanos);
    double place = Math.min(1, (double) workAhead / Math.max(1, work[urgency]));
    double ahead = workAhead + place * others.work();
    double rate = ownRate.getAsDouble() + others.workPerSecond();
    return OptionalLong.of((long) Math.min(MAX_WAIT_NANOS, ahead * NANOS_PER_SECOND / rate));
  }

  /** Returns the time until all work of an urgency that waits now is dispatched, if it is known. */
  OptionalLong drainNanos(int urgency, long nowNanos) {
    return expectedWaitNanos(urgency, work[urgency], nowNanos);
  }

  /** Returns the longest time to dispatch the waiting work of an urgency; 0 if none is known. */
  long longestWaitNanos(long nowNanos) {
    return IntStream.rangeClosed(0, Route.LEAST_URGENT)
        .mapToLong(urgency -> drainNanos(urgency, nowNanos).orElse(0))
        .max()
        .orElse(0);
  }

  /** Returns the work of an urgency that is finished for this instance in a second, if known. */
  OptionalDouble workPerSecond(int urgency, long nowNanos) {
    return rates[urgency].perSecond(nowNanos);
  }

  /** Returns the number of requests of at least an urgency that wait at this instance. */
  int requests(int urgency) {
    int count = 0;
    for (int each = 0; each <= urgency; each++) {
      count += requests[each];
    }
    return count;
  }

  /** Returns what is to be announced: one element for each urgency with waiting work. */
  List<WaitingWork> waitingWork(String service, long nowNanos) {
    List<WaitingWork> waiting = new ArrayList<>();
    for (int urgency = 0; urgency <= Route.LEAST_URGENT; urgency++) {
      if (requests[urgency] > 0) {
        double rate = rates[urgency].perSecond(nowNanos).orElse(0);
        waiting.add(new WaitingWork(service, urgency, work[urgency], rate));
      }
    }
    return waiting;
  }

  /** Returns the largest number of other instances that announce waiting work of one urgency. */
  int waitingPeers(long nowNanos) {
    return Arrays.stream(peers).mapToInt(each -> each.count(nowNanos)).max().orElse(0);
  }

  /** Returns the work of an urgency that waits at this instance. */
  long work(int urgency) {
    return work[urgency];
  }
}
