package org.pollenrock.core.retry;

import java.util.Objects;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RunState;

/**
 * Most recent failed attempt of a call.
 *
 * @param kind kind of failure
 * @param peer server that the attempt was made on
 * @param runState whether the server ran the attempt, as far as known
 * @param bytesMayHaveBeenSent whether any byte of the request may have left this router
 * @param tokensRelayed number of response tokens already relayed to the caller
 */
public record FailedAttempt(
    FailureKind kind,
    Peer peer,
    RunState runState,
    boolean bytesMayHaveBeenSent,
    long tokensRelayed) {
  /**
   * Checks that the components are consistent.
   *
   * @throws IllegalArgumentException if no byte was sent but the run state is not {@code NOT_RUN},
   *     or if the number of tokens is negative
   */
  public FailedAttempt {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(runState, "runState");
    if (!bytesMayHaveBeenSent && runState != RunState.NOT_RUN) {
      throw new IllegalArgumentException("no byte was sent, but the run state is " + runState);
    }
    if (tokensRelayed < 0) {
      throw new IllegalArgumentException("tokensRelayed must not be negative: " + tokensRelayed);
    }
  }
}
