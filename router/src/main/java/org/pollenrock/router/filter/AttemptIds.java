package org.pollenrock.router.filter;

import java.util.concurrent.atomic.AtomicLong;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.stream.AttemptId;

/** Identities of attempts, never repeated within one incarnation of the router. */
public final class AttemptIds {
  private final InstanceId instance;
  private final Incarnation incarnation;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a source of identities.
   *
   * @param instance the router
   * @param incarnation its incarnation
   */
  public AttemptIds(InstanceId instance, Incarnation incarnation) {
    this.instance = instance;
    this.incarnation = incarnation;
  }

  AttemptId next() {
    return new AttemptId(instance, incarnation, counter.incrementAndGet());
  }
}
