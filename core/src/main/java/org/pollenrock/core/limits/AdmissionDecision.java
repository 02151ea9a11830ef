package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** What happens to a request that asked for a slot. */
public sealed interface AdmissionDecision {
  /**
   * Number of the request.
   *
   * @return the number
   */
  long id();

  /**
   * The request waits; a later decision follows unless it is cancelled.
   *
   * @param id number of the request
   * @param expectedWaitNanos estimate of the time to its dispatch
   */
  record Queue(long id, long expectedWaitNanos) implements AdmissionDecision {}

  /**
   * The request has a slot until {@link AdmissionQueue#finish}.
   *
   * @param id number of the request
   */
  record Dispatch(long id) implements AdmissionDecision {}

  /**
   * The request will never be dispatched.
   *
   * @param id number of the request
   * @param refusal what the caller is told
   */
  record Refuse(long id, RequestError.Refusal refusal) implements AdmissionDecision {
    /** Checks that the refusal is present. */
    public Refuse {
      Objects.requireNonNull(refusal, "refusal");
    }
  }
}
