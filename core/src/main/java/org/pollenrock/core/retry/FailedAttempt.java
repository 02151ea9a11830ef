package org.pollenrock.core.retry;

import java.util.Objects;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RunState;

/**
 * The latest failed attempt of a call.
 *
 * @param kind how it failed
 * @param peer server that it was sent to
 * @param runState what is known of its execution
 * @param bytesMayHaveBeenSent whether any byte of the request may have left this router
 * @param tokensRelayed number of response tokens that the caller already has
 */
public record FailedAttempt(
    FailureKind kind,
    Peer peer,
    RunState runState,
    boolean bytesMayHaveBeenSent,
    long tokensRelayed) {
  /**
   * Checks that the parts agree.
   *
   * @throws IllegalArgumentException when an attempt of which no byte left is said to have run, or
   *     the number of tokens is negative
   */
  public FailedAttempt {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(runState, "runState");
    if (!bytesMayHaveBeenSent && runState != RunState.NOT_RUN) {
      throw new IllegalArgumentException("no byte left, yet the run state is " + runState);
    }
    if (tokensRelayed < 0) {
      throw new IllegalArgumentException("tokensRelayed must not be negative: " + tokensRelayed);
    }
  }
}
