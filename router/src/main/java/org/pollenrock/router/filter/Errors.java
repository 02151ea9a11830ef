package org.pollenrock.router.filter;

import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.error.Step;

/** Errors whose variant follows from what is known of the execution. */
final class Errors {
  private Errors() {}

  static RequestError of(
      RunState runState, ErrorCode code, Step step, Optional<Peer> peer, String message) {
    return switch (runState) {
      case NOT_RUN -> new RequestError.Refusal(code, step, peer, message);
      case RAN -> new RequestError.AfterRun(code, step, peer, message);
      case UNKNOWN -> new RequestError.Uncertain(code, step, peer, message);
    };
  }

  /** The router ends: without an attempt nothing ran. */
  static RequestError stopping(Exchange exchange) {
    boolean sent = exchange.attempts() > 0;
    return of(
        sent ? RunState.UNKNOWN : RunState.NOT_RUN,
        sent ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.OVERLOADED,
        exchange.step(),
        Optional.empty(),
        "the router is stopping");
  }

  /** The caller's deadline passed: without an attempt nothing ran. */
  static RequestError deadlinePassed(Exchange exchange) {
    RunState state = exchange.attempts() == 0 ? RunState.NOT_RUN : RunState.UNKNOWN;
    return of(
        state,
        ErrorCode.DEADLINE_UNREACHABLE,
        exchange.step(),
        Optional.empty(),
        "the deadline passed");
  }
}
