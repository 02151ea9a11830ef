package org.pollenrock.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of the requests of one service that wait for a server, ordered by urgency and then by
 * arrival in the queue.
 */
public final class DispatchQueue {
  private static final Comparator<QueueEntry> DISPATCH_ORDER =
      Comparator.comparingInt((QueueEntry entry) -> entry.request().urgency())
          .thenComparingLong(QueueEntry::sequence);

  private final TreeSet<QueueEntry> entries = new TreeSet<>(DISPATCH_ORDER);
  private long nextSequence;

  /** Creates an empty queue. */
  public DispatchQueue() {}

  /**
   * Adds a request to the queue.
   *
   * @param request the request
   * @param triedServers identities of the servers on which the request failed
   * @param queueDeadlineNanos time at which the request expires from the queue
   * @return the entry of the request
   */
  public QueueEntry add(
      DispatchRequest request, Set<String> triedServers, long queueDeadlineNanos) {
    QueueEntry entry =
        new QueueEntry(request, Set.copyOf(triedServers), queueDeadlineNanos, nextSequence++);
    entries.add(entry);
    return entry;
  }

  /**
   * Removes an entry from the queue.
   *
   * @param entry the entry
   * @return whether the entry was still in the queue
   */
  public boolean remove(QueueEntry entry) {
    return entries.remove(entry);
  }

  /**
   * Removes the entries whose queue deadline has passed.
   *
   * @param nowNanos current time
   * @return the removed entries
   */
  public List<QueueEntry> removeExpired(long nowNanos) {
    return removeIf(entry -> entry.queueDeadlineNanos() - nowNanos <= 0);
  }

  /**
   * Removes the entries that meet a condition.
   *
   * @param condition the condition
   * @return the removed entries in dispatch order
   */
  public List<QueueEntry> removeIf(Predicate<QueueEntry> condition) {
    List<QueueEntry> removed = entries.stream().filter(condition).toList();
    removed.forEach(entries::remove);
    return removed;
  }

  /**
   * Returns the entries in dispatch order.
   *
   * @return a copy of the entries
   */
  public List<QueueEntry> entriesInOrder() {
    return List.copyOf(entries);
  }

  /**
   * Counts the waiting requests that are dispatched before a new request of the given urgency.
   *
   * @param urgency urgency from 0, which is dispatched first
   * @return the number of requests
   */
  public int countAhead(int urgency) {
    int count = 0;
    for (QueueEntry entry : entries) {
      if (entry.request().urgency() > urgency) {
        break;
      }
      count++;
    }
    return count;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests
   */
  public int size() {
    return entries.size();
  }
}
