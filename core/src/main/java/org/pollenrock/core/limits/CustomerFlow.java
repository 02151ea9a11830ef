package org.pollenrock.core.limits;

/** Waiting requests of one customer in one class, oldest first, with their virtual time tags. */
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

  /** Order of creation, which breaks ties between equal tags. */
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

  /** Virtual time at which the head is due. */
  double start() {
    return headStartTag;
  }

  /** Virtual time at which the last dispatched request is finished. */
  double finish() {
    return lastFinishTag;
  }

  /** Virtual time at which the last waiting request is finished. */
  double tailFinishTag() {
    return headStartTag + queuedCost / weight;
  }

  /** Virtual time at which one more request would be finished. */
  double tailFinishTagWith(AdmissionRequest request, double virtualTime) {
    double from = isEmpty() ? Math.max(virtualTime, lastFinishTag) : headStartTag;
    return from + (queuedCost + request.cost()) / request.weight();
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

  QueuedRequest dispatchHead() {
    QueuedRequest dispatched = head;
    lastFinishTag = headStartTag + dispatched.request().cost() / weight;
    remove(dispatched);
    headStartTag = lastFinishTag;
    return dispatched;
  }

  /** Removes a request that is not dispatched and so not charged. */
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
