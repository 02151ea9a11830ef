package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Requests of one service that wait for a server; the most urgent and among those the oldest goes
 * first.
 */
public final class DispatchQueue {
  private static final Comparator<QueueEntry> DISPATCH_ORDER =
      Comparator.comparingInt((QueueEntry waiting) -> waiting.request().urgency())
          .thenComparingLong(QueueEntry::sequence);

  private final TreeSet<QueueEntry> entries = new TreeSet<>(DISPATCH_ORDER);
  private long nextSequence;

  /** Creates an empty queue. */
  public DispatchQueue() {}

  /**
   * Adds a request.
   *
   * @param request the request
   * @param tried servers that failed it before
   * @param giveUpNanos time at which it is to be refused
   * @return its place
   */
  public QueueEntry add(DispatchRequest request, Set<String> tried, long giveUpNanos) {
    QueueEntry waiting = new QueueEntry(request, Set.copyOf(tried), giveUpNanos, nextSequence++);
    entries.add(waiting);
    return waiting;
  }

  /**
   * Takes a request out.
   *
   * @param waiting its place
   * @return whether it was still waiting
   */
  public boolean remove(QueueEntry waiting) {
    return entries.remove(waiting);
  }

  /**
   * Takes out the requests that have waited as long as they may.
   *
   * @param nowNanos current time
   * @return the requests
   */
  public List<QueueEntry> removeExpired(long nowNanos) {
    List<QueueEntry> expired = new ArrayList<>();
    for (QueueEntry waiting : entries) {
      if (waiting.queueDeadlineNanos() - nowNanos <= 0) {
        expired.add(waiting);
      }
    }
    expired.forEach(entries::remove);
    return expired;
  }

  /**
   * Waiting requests in the order in which they go.
   *
   * @return a copy
   */
  public List<QueueEntry> entriesInOrder() {
    return List.copyOf(entries);
  }

  /**
   * Number of waiting requests that go before one of an urgency.
   *
   * @param urgency rank from 0
   * @return the number
   */
  public int countAhead(int urgency) {
    int count = 0;
    for (QueueEntry waiting : entries) {
      if (waiting.request().urgency() > urgency) {
        break;
      }
      count++;
    }
    return count;
  }

  /**
   * Number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return entries.size();
  }
}
