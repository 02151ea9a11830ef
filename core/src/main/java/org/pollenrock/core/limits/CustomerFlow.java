package org.pollenrock.core.limits;

/**
 * Waiting requests of one customer in one priority class, oldest first, with the start and finish
 * tags of start-time fair queueing. Tags are virtual times.
 */
final class CustomerFlow {
  private final long sequence;
  private QueuedRequest head;
  private QueuedRequest tail;
  private int size;
  private long queuedCost;
  private double weight = 1;
  private double headStartTag;
  private double lastFinishTag;

  CustomerFlow(long sequence) {
    this.sequence = sequence;
  }

  /** Returns the sequence number of creation, which breaks ties between equal tags. */
  long sequence() {
    return sequence;
  }

  QueuedRequest head() {
    return head;
  }

  QueuedRequest tail() {
    return tail;
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  double weight() {
    return weight;
  }

  /** Returns the start tag of the oldest waiting request. */
  double headStartTag() {
    return headStartTag;
  }

  /** Returns the finish tag of the last dispatched request. */
  double lastFinishTag() {
    return lastFinishTag;
  }

  /** Returns the finish tag of the newest waiting request. */
  double tailFinishTag() {
    return headStartTag + queuedCost / weight;
  }

  /** Returns the finish tag that a new request would get if it were added now. */
  double tailFinishTagWith(AdmissionRequest request, double virtualTime) {
    double startTag = isEmpty() ? Math.max(virtualTime, lastFinishTag) : headStartTag;
    return startTag + (queuedCost + request.cost()) / request.weight();
  }

  void add(QueuedRequest added, double virtualTime) {
    if (isEmpty()) {
      headStartTag = Math.max(virtualTime, lastFinishTag);
      head = added;
    }
    weight = added.request().weight();
    added.appendTo(tail);
    tail = added;
    size++;
    queuedCost += added.request().cost();
  }

  /** Removes the oldest waiting request and charges its cost to the customer. */
  QueuedRequest dispatchHead() {
    QueuedRequest dispatched = head;
    lastFinishTag = headStartTag + dispatched.request().cost() / weight;
    remove(dispatched);
    headStartTag = lastFinishTag;
    return dispatched;
  }

  /** Removes a request without charging its cost to the customer. */
  void remove(QueuedRequest removed) {
    if (removed == head) {
      head = removed.next();
    }
    if (removed == tail) {
      tail = removed.previous();
    }
    removed.unlink();
    size--;
    queuedCost -= removed.request().cost();
  }
}
