package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** Result of charging a request to its limits. */
public sealed interface LimitDecision {
  /**
   * The request is within all of its limits and was charged to them.
   *
   * @param hold charged capacity, to be released when the request ends
   */
  record Granted(LimitHold hold) implements LimitDecision {
    /** Checks that no component is null. */
    public Granted {
      Objects.requireNonNull(hold, "hold");
    }
  }

  /**
   * The request would exceed a limit and was not charged to any.
   *
   * @param key the limit that the request would exceed
   * @param retryAfterNanos time until a request may be within this limit again
   * @param refusal error that is returned to the caller
   */
  record Exceeded(LimitKey key, long retryAfterNanos, RequestError.Refusal refusal)
      implements LimitDecision {
    /** Checks that no component is null. */
    public Exceeded {
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(refusal, "refusal");
    }
  }
}
