package org.pollenrock.core.error;

import java.util.Objects;
import java.util.Optional;

/**
 * An error that a caller is told, with a stable code and the step and peer at which it arose.
 *
 * <p>The variant states what is known of the execution, so that a refusal cannot claim more than is
 * certain.
 */
public sealed interface RequestError {
  /**
   * Stable code.
   *
   * @return the code
   */
  ErrorCode code();

  /**
   * Step at which the error arose.
   *
   * @return the step
   */
  Step step();

  /**
   * Other end of the link at which the error arose.
   *
   * @return the peer, or empty when the router alone was involved
   */
  Optional<Peer> peer();

  /**
   * Explanation for the caller.
   *
   * @return one sentence
   */
  String message();

  /**
   * What is known of the execution.
   *
   * @return the state that the variant stands for
   */
  default RunState runState() {
    return switch (this) {
      case Refusal refusal -> RunState.NOT_RUN;
      case AfterRun afterRun -> RunState.RAN;
      case Uncertain uncertain -> RunState.UNKNOWN;
    };
  }

  /**
   * The request certainly did not run and will not run.
   *
   * @param code stable code
   * @param step where it arose
   * @param peer the other end, when there is one
   * @param message a sentence for the caller
   */
  record Refusal(ErrorCode code, Step step, Optional<Peer> peer, String message)
      implements RequestError {
    /** Checks that all parts are present. */
    public Refusal {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
      Objects.requireNonNull(message, "message");
    }
  }

  /**
   * The request ran, but its answer cannot be delivered as asked.
   *
   * @param code stable code
   * @param step where it arose
   * @param peer the other end, when there is one
   * @param message a sentence for the caller
   */
  record AfterRun(ErrorCode code, Step step, Optional<Peer> peer, String message)
      implements RequestError {
    /** Checks that all parts are present. */
    public AfterRun {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
      Objects.requireNonNull(message, "message");
    }
  }

  /**
   * The request may have run.
   *
   * @param code stable code
   * @param step where it arose
   * @param peer the other end, when there is one
   * @param message a sentence for the caller
   */
  record Uncertain(ErrorCode code, Step step, Optional<Peer> peer, String message)
      implements RequestError {
    /** Checks that all parts are present. */
    public Uncertain {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
      Objects.requireNonNull(message, "message");
    }
  }
}
