package org.pollenrock.router.filter;

import java.util.concurrent.atomic.AtomicLong;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/** Identities of attempts, never repeated within one incarnation of the router. */
public final class AttemptIds {
  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a source of identities.
   *
   * @param instance the router
   * @param incarnation its incarnation
   */
  public AttemptIds(InstanceId instance, Incarnation incarnation) {
    this.prefix = instance.value() + "/" + incarnation.value() + "/";
  }

  String next() {
    return prefix + counter.incrementAndGet();
  }
}
