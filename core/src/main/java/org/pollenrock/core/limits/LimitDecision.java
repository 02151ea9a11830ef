package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** Whether a request is within all of its limits. */
public sealed interface LimitDecision {
  /**
   * All limits were charged.
   *
   * @param hold what to release when the request ends
   */
  record Granted(LimitHold hold) implements LimitDecision {
    /** Checks that the hold is present. */
    public Granted {
      Objects.requireNonNull(hold, "hold");
    }
  }

  /**
   * A limit is used up and none was charged.
   *
   * @param key the limit
   * @param retryAfterNanos when a request may pass this limit again
   * @param refusal what the caller is told
   */
  record Exceeded(LimitKey key, long retryAfterNanos, RequestError.Refusal refusal)
      implements LimitDecision {
    /** Checks that all parts are present. */
    public Exceeded {
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(refusal, "refusal");
    }
  }
}
