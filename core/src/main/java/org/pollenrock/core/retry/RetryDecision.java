package org.pollenrock.core.retry;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** Decision on how to proceed after a failed attempt. */
public sealed interface RetryDecision {
  /**
   * Attempts the call again after a delay, if possible on another server.
   *
   * @param delayNanos the delay in nanoseconds
   */
  record RetryAfter(long delayNanos) implements RetryDecision {}

  /**
   * Resumes the stream as {@code ResumePlanner} determines, because tokens were already relayed.
   *
   * @param nextTokenIndex index of the first token that was not relayed
   */
  record Resume(long nextTokenIndex) implements RetryDecision {}

  /**
   * Reports an error to the caller.
   *
   * @param error the error, whose run state covers all attempts of the call
   */
  record GiveUp(RequestError error) implements RetryDecision {
    /** Checks that the error is present. */
    public GiveUp {
      Objects.requireNonNull(error, "error");
    }
  }
}
