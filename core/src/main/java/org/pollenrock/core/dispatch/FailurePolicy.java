package org.pollenrock.core.dispatch;

/** Decides how to proceed after a failed send. */
public final class FailurePolicy {
  /** Maximum number of servers that may refuse a request before the request itself is refused. */
  private static final int MAX_REFUSALS = 6;

  private FailurePolicy() {}

  /**
   * Returns the next step after a failed send.
   *
   * @param failure how the send failed
   * @param state progress of the request
   * @return the next step; a resend or a resumption still requires time, a server and retry budget
   */
  public static NextStep nextStep(SendFailure failure, SendState state) {
    if (state.relayed()) {
      boolean resume =
          state.resumable() && hasAttemptsLeft(state) && state.refusals() < MAX_REFUSALS;
      return resume ? NextStep.RESUME : NextStep.BREAK_OFF;
    }
    if (failure.certainlyNotRun()) {
      boolean resend = state.refusals() < MAX_REFUSALS && hasAttemptsLeft(state);
      return resend ? NextStep.RESEND : finalStep(failure, state);
    }
    boolean resend = state.repeatable() && hasAttemptsLeft(state);
    return resend ? NextStep.RESEND : finalStep(failure, state);
  }

  /**
   * Returns the final step of a request that can't be resent.
   *
   * @param failure how the last send failed
   * @param state progress of the request
   * @return the final step
   */
  public static NextStep finalStep(SendFailure failure, SendState state) {
    if (state.relayed()) {
      return NextStep.BREAK_OFF;
    }
    if (failure == SendFailure.SERVER_ERROR) {
      return NextStep.PASS_ON;
    }
    return failure.certainlyNotRun() && !state.mayHaveRun()
        ? NextStep.REFUSE
        : NextStep.ANSWER_UNKNOWN;
  }

  private static boolean hasAttemptsLeft(SendState state) {
    return state.runs() < state.maxAttempts();
  }
}
