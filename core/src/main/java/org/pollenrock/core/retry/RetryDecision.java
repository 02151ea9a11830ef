package org.pollenrock.core.retry;

import java.util.Objects;
import org.pollenrock.core.error.RequestError;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
  /**
   * Place the call again after a delay, if possible on another server.
   *
   * @param delayNanos the delay
   */
  record RetryAfter(long delayNanos) implements RetryDecision {}

  /**
   * Tokens were relayed: ask {@code ResumePlanner} how the stream goes on.
   *
   * @param nextTokenIndex first token that was not relayed
   */
  record Resume(long nextTokenIndex) implements RetryDecision {}

  /**
   * Tell the caller.
   *
   * @param error the error, true for all attempts together
   */
  record GiveUp(RequestError error) implements RetryDecision {
    /** Checks that the error is present. */
    public GiveUp {
      Objects.requireNonNull(error, "error");
    }
  }
}
