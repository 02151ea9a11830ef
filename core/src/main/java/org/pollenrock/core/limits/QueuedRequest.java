package org.pollenrock.core.limits;

/** A waiting request, a node in the doubly linked list of its {@link CustomerFlow}. */
final class QueuedRequest {
  private final AdmissionRequest request;
  private final CustomerFlow flow;
  private QueuedRequest previous;
  private QueuedRequest next;

  QueuedRequest(AdmissionRequest request, CustomerFlow flow) {
    this.request = request;
    this.flow = flow;
  }

  AdmissionRequest request() {
    return request;
  }

  CustomerFlow flow() {
    return flow;
  }

  QueuedRequest next() {
    return next;
  }

  void appendTo(QueuedRequest tail) {
    previous = tail;
    if (tail != null) {
      tail.next = this;
    }
  }

  QueuedRequest previous() {
    return previous;
  }

  void unlink() {
    if (previous != null) {
      previous.next = next;
    }
    if (next != null) {
      next.previous = previous;
    }
    previous = null;
    next = null;
  }
}
