package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.pollenrock.core.route.Route;

/**
 * Queue of the requests of one service that wait for a server.
 *
 * <p>Requests are ordered by urgency, within an urgency by the shares of their customers, and for
 * each customer by arrival in the queue. A long prompt that has waited for half of its time joins
 * the short ones of its priority, with a small share, so that many short ones can't keep it waiting
 * for ever.
 */
public final class DispatchQueue {
  /** Flow of the long prompts that have joined the short ones. */
  private static final String PROMOTED_FLOW = "\u0000promoted";

  /** Share of the promoted long prompts in relation to all customers together. */
  private static final double PROMOTED_WEIGHT = 0.25;

  /** Number of requests ahead below which the wait is too short to be estimated. */
  private static final int MIN_REQUESTS_AHEAD = 4;

  /**
   * Factor by which the expected wait of a waiting request must exceed its remaining time in the
   * queue, since the estimate varies.
   */
  private static final double HOPELESS_FACTOR = 1.5;

  private final TreeMap<QueueRank, QueueEntry> entries = new TreeMap<>();
  private final Map<Long, QueueRank> ranksBySequence = new HashMap<>();
  private final FairOrder[] orders = new FairOrder[Route.LEAST_URGENT + 1];
  private final CustomerDemand demand = new CustomerDemand();
  private final ServiceBacklog backlog = new ServiceBacklog();
  private long nextSequence;
  private boolean rationed = true;

  /** Creates an empty queue. */
  public DispatchQueue() {
    for (int level = 0; level < orders.length; level++) {
      orders[level] = new FairOrder();
    }
  }

  /**
   * Sets whether the room of the service is rationed. If it is not, requests are ordered by urgency
   * and arrival alone, and none is refused for its expected wait.
   *
   * @param newRationed whether customers compete for room
   */
  void setRationed(boolean newRationed) {
    rationed = newRationed;
  }

  /** Records a request for the service, whether it waits or not. */
  void recordRequest(DispatchRequest request, long nowNanos) {
    if (rationed) {
      demand.record(flow(request), request.work(), nowNanos);
    }
  }

  /**
   * Adds a request to the queue, unless it would not leave it in time or too many requests wait.
   *
   * @param request the request
   * @param triedServers identities of the servers on which the request failed
   * @param resend whether the next send counts against the retry budget
   * @param slots total number of slots of all servers of the service
   * @param nowNanos current time
   * @return whether the request waits or is refused
   */
  DispatchResult tryAdd(
      DispatchRequest request, Set<String> triedServers, boolean resend, int slots, long nowNanos) {
    if (!AdmissionPolicy.mayQueue(request, this, slots)) {
      return new DispatchResult.Refused(DispatchResult.Cause.QUEUE_FULL);
    }
    OptionalLong waitNanos = expectedWaitNanos(request, nowNanos);
    long deadlineNanos =
        AdmissionPolicy.queueDeadlineNanos(request, waitNanos.isPresent(), nowNanos);
    if (waitNanos.isPresent() && waitNanos.getAsLong() > deadlineNanos - nowNanos) {
      return new DispatchResult.Refused(DispatchResult.Cause.WAIT_TOO_LONG);
    }
    return new DispatchResult.Queued(add(request, triedServers, resend, deadlineNanos, nowNanos));
  }

  /**
   * Adds a request to the queue.
   *
   * @param request the request
   * @param triedServers identities of the servers on which the request failed
   * @param resend whether the next send counts against the retry budget
   * @param queueDeadlineNanos time at which the request expires from the queue
   * @param nowNanos current time
   * @return the entry of the request
   */
  public QueueEntry add(
      DispatchRequest request,
      Set<String> triedServers,
      boolean resend,
      long queueDeadlineNanos,
      long nowNanos) {
    QueueEntry entry =
        new QueueEntry(
            request, Set.copyOf(triedServers), resend, queueDeadlineNanos, nextSequence++);
    String flow = flow(request);
    double tag = orders[request.urgency()].add(flow, request.work(), weight(flow), nowNanos);
    insert(entry, new QueueRank(request.urgency(), tag, entry.sequence()));
    backlog.recordQueued(request, nowNanos);
    return entry;
  }

  /**
   * Removes an entry whose request is sent to a server.
   *
   * @param entry the entry
   * @param nowNanos current time
   */
  public void dispatch(QueueEntry entry, long nowNanos) {
    QueueRank rank = ranksBySequence.remove(entry.sequence());
    entries.remove(rank);
    orders[rank.level()].recordDispatch(rank.startTag(), nowNanos);
    backlog.recordUnqueued(entry.request(), nowNanos);
  }

  /**
   * Removes an entry whose request is not sent.
   *
   * @param entry the entry
   * @param nowNanos current time
   * @return whether the entry was still in the queue
   */
  public boolean remove(QueueEntry entry, long nowNanos) {
    QueueRank rank = ranksBySequence.remove(entry.sequence());
    if (rank == null) {
      return false;
    }
    entries.remove(rank);
    withdraw(entry, rank, nowNanos);
    backlog.recordUnqueued(entry.request(), nowNanos);
    return true;
  }

  /**
   * Removes the entries whose queue deadline has passed.
   *
   * @param nowNanos current time
   * @return the removed entries
   */
  public List<QueueEntry> removeExpired(long nowNanos) {
    return removeIf(entry -> entry.queueDeadlineNanos() - nowNanos <= 0, nowNanos);
  }

  /**
   * Removes the entries that meet a condition.
   *
   * @param condition the condition
   * @param nowNanos current time
   * @return the removed entries in dispatch order
   */
  public List<QueueEntry> removeIf(Predicate<QueueEntry> condition, long nowNanos) {
    List<QueueEntry> removed = entries.values().stream().filter(condition).toList();
    removed.forEach(entry -> remove(entry, nowNanos));
    return removed;
  }

  /**
   * Removes the entries that are not expected to leave the queue before their deadlines.
   *
   * @param nowNanos current time
   * @return the removed entries in dispatch order
   */
  public List<QueueEntry> removeHopeless(long nowNanos) {
    if (!rationed) {
      return List.of();
    }
    List<QueueEntry> hopeless = new ArrayList<>();
    int[] requestsAhead = new int[Route.LEAST_URGENT + 1];
    long[] workAhead = new long[Route.LEAST_URGENT + 1];
    for (Map.Entry<QueueRank, QueueEntry> ranked : entries.entrySet()) {
      QueueEntry entry = ranked.getValue();
      int urgency = entry.request().urgency();
      OptionalLong wait =
          expectedWaitNanos(
              entry.request(),
              ranked.getKey(),
              requestsAhead[urgency],
              workAhead[urgency],
              nowNanos);
      long remainingNanos = entry.queueDeadlineNanos() - nowNanos;
      if (wait.isPresent() && wait.getAsLong() > HOPELESS_FACTOR * Math.max(0, remainingNanos)) {
        hopeless.add(entry);
      } else {
        requestsAhead[urgency]++;
        workAhead[urgency] += entry.request().work();
      }
    }
    hopeless.forEach(entry -> remove(entry, nowNanos));
    return hopeless;
  }

  /**
   * Lets the long prompts that have waited for half of their time in the queue join the short ones
   * of their priority.
   *
   * @param nowNanos current time
   */
  public void promoteLongPrompts(long nowNanos) {
    if (!rationed) {
      return;
    }
    for (QueueEntry entry : entriesInOrder()) {
      DispatchRequest request = entry.request();
      QueueRank rank = ranksBySequence.get(entry.sequence());
      long halfNanos = (entry.queueDeadlineNanos() - request.arrivalNanos()) / 2;
      if (rank.level() == request.urgency()
          && Route.shortPromptUrgency(request.urgency(), request.promptTokens()) < rank.level()
          && nowNanos - request.arrivalNanos() >= halfNanos) {
        int level = Route.shortPromptUrgency(request.urgency(), request.promptTokens());
        entries.remove(rank);
        withdraw(entry, rank, nowNanos);
        double tag = orders[level].add(PROMOTED_FLOW, request.work(), promotedWeight(), nowNanos);
        insert(entry, new QueueRank(level, tag, entry.sequence()));
      }
    }
  }

  /**
   * Returns the expected time until a new request would leave the queue.
   *
   * @param request the request
   * @param nowNanos current time
   * @return time in nanoseconds; empty if it is not known how fast waiting requests leave
   */
  public OptionalLong expectedWaitNanos(DispatchRequest request, long nowNanos) {
    if (!rationed) {
      return OptionalLong.empty();
    }
    double tag = orders[request.urgency()].startTag(flow(request));
    QueueRank rank = new QueueRank(request.urgency(), tag, nextSequence);
    int requestsAhead = 0;
    long workAhead = 0;
    for (QueueEntry entry : entries.headMap(rank).values()) {
      if (entry.request().urgency() == request.urgency()) {
        requestsAhead++;
        workAhead += entry.request().work();
      }
    }
    return expectedWaitNanos(request, rank, requestsAhead, workAhead, nowNanos);
  }

  /**
   * Returns the entries in dispatch order.
   *
   * @return a copy of the entries
   */
  public List<QueueEntry> entriesInOrder() {
    return List.copyOf(entries.values());
  }

  /**
   * Counts the waiting requests of at least the given urgency.
   *
   * @param urgency urgency from 0, which is dispatched first
   * @return the number of requests
   */
  public int countAhead(int urgency) {
    return backlog.requests(urgency);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests
   */
  public int size() {
    return entries.size();
  }

  /** Returns the work that waits for the service, here and at other instances. */
  ServiceBacklog backlog() {
    return backlog;
  }

  private OptionalLong expectedWaitNanos(
      DispatchRequest request, QueueRank rank, int requestsAhead, long workAhead, long nowNanos) {
    if (requestsAhead < MIN_REQUESTS_AHEAD) {
      return backlog.expectedWaitNanos(request.urgency(), 0, nowNanos);
    }
    OptionalLong waitNanos = backlog.expectedWaitNanos(request.urgency(), workAhead, nowNanos);
    boolean mayBePromoted =
        Route.shortPromptUrgency(rank.level(), request.promptTokens()) < rank.level();
    if (waitNanos.isEmpty() || mayBePromoted) {
      return waitNanos;
    }
    OptionalLong shareNanos = orders[rank.level()].expectedWaitNanos(rank.startTag(), nowNanos);
    return OptionalLong.of(Math.max(waitNanos.getAsLong(), shareNanos.orElse(0)));
  }

  private void insert(QueueEntry entry, QueueRank rank) {
    entries.put(rank, entry);
    ranksBySequence.put(entry.sequence(), rank);
  }

  private void withdraw(QueueEntry entry, QueueRank rank, long nowNanos) {
    boolean promoted = rank.level() != entry.request().urgency();
    String flow = promoted ? PROMOTED_FLOW : flow(entry.request());
    double weight = promoted ? promotedWeight() : weight(flow);
    orders[rank.level()].recordRefusal(flow, entry.request().work(), weight, nowNanos);
  }

  private double promotedWeight() {
    return PROMOTED_WEIGHT * demand.totalWeight();
  }

  private double weight(String flow) {
    return rationed ? demand.weight(flow) : 1;
  }

  private String flow(DispatchRequest request) {
    return rationed ? request.customer().orElse("") : "";
  }
}
