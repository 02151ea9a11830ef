package org.pollenrock.core.dispatch;

import java.util.Comparator;

/**
 * Position of a waiting request in a {@link DispatchQueue}.
 *
 * @param level urgency with which the request is dispatched; 0 is dispatched first
 * @param startTag virtual time at which the share of its customer reaches the request
 * @param sequence order in which requests came into the queue
 */
record QueueRank(int level, double startTag, long sequence) implements Comparable<QueueRank> {
  private static final Comparator<QueueRank> ORDER =
      Comparator.comparingInt(QueueRank::level)
          .thenComparingDouble(QueueRank::startTag)
          .thenComparingLong(QueueRank::sequence);

  @Override
  public int compareTo(QueueRank other) {
    return ORDER.compare(this, other);
  }
}
