package org.pollenrock.core.error;

import java.util.Objects;
import java.util.Optional;

/**
 * An error reported to a caller, with a stable code and the step and peer at which it occurred.
 *
 * <p>The variants distinguish whether the request did not run, ran, or may have run, so that an
 * error says that a request did not run only if this is certain.
 */
public sealed interface RequestError {
  /**
   * Returns the stable code of the error.
   *
   * @return the code
   */
  ErrorCode code();

  /**
   * Returns the step at which the error occurred.
   *
   * @return the step
   */
  Step step();

  /**
   * Returns the remote end of the connection on which the error occurred.
   *
   * @return the peer, or empty if only the router was involved
   */
  Optional<Peer> peer();

  /**
   * Returns the explanation for the caller.
   *
   * @return one sentence
   */
  String message();

  /**
   * Returns what is known about the execution of the request.
   *
   * @return the run state of this variant
   */
  default RunState runState() {
    return switch (this) {
      case Refusal refusal -> RunState.NOT_RUN;
      case AfterRun afterRun -> RunState.RAN;
      case Uncertain uncertain -> RunState.UNKNOWN;
    };
  }

  /**
   * The request did not run and will not run.
   *
   * @param code stable code
   * @param step step at which the error occurred
   * @param peer remote end of the connection; empty if only the router was involved
   * @param message explanation for the caller, one sentence
   */
  record Refusal(ErrorCode code, Step step, Optional<Peer> peer, String message)
      implements RequestError {
    /** Checks that no component is null. */
    public Refusal {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
      Objects.requireNonNull(message, "message");
    }
  }

  /**
   * The request ran, but its response cannot be delivered as requested.
   *
   * @param code stable code
   * @param step step at which the error occurred
   * @param peer remote end of the connection; empty if only the router was involved
   * @param message explanation for the caller, one sentence
   */
  record AfterRun(ErrorCode code, Step step, Optional<Peer> peer, String message)
      implements RequestError {
    /** Checks that no component is null. */
    public AfterRun {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
      Objects.requireNonNull(message, "message");
    }
  }

  /**
   * The request may have run; whether it did is unknown.
   *
   * @param code stable code
   * @param step step at which the error occurred
   * @param peer remote end of the connection; empty if only the router was involved
   * @param message explanation for the caller, one sentence
   */
  record Uncertain(ErrorCode code, Step step, Optional<Peer> peer, String message)
      implements RequestError {
    /** Checks that no component is null. */
    public Uncertain {
      Objects.requireNonNull(code, "code");
      Objects.requireNonNull(step, "step");
      Objects.requireNonNull(peer, "peer");
      Objects.requireNonNull(message, "message");
    }
  }
}
