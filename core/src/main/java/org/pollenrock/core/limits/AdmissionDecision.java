package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** Decision of an {@link AdmissionQueue} about one request. */
public sealed interface AdmissionDecision {
  /**
   * Returns the id of the request that the decision is about.
   *
   * @return id of the request
   */
  long id();

  /**
   * The request is queued; {@link AdmissionQueue#poll} returns its final decision unless the
   * request is cancelled before.
   *
   * @param id id of the request
   * @param expectedWaitNanos estimated time until the request is dispatched
   */
  record Queue(long id, long expectedWaitNanos) implements AdmissionDecision {}

  /**
   * The request may run; it occupies a slot until {@link AdmissionQueue#finish} is called for it.
   *
   * @param id id of the request
   */
  record Dispatch(long id) implements AdmissionDecision {}

  /**
   * The request is refused and will never be dispatched.
   *
   * @param id id of the request
   * @param refusal error that is returned to the caller
   */
  record Refuse(long id, RequestError.Refusal refusal) implements AdmissionDecision {
    /** Checks that no component is null. */
    public Refuse {
      Objects.requireNonNull(refusal, "refusal");
    }
  }
}
