package org.pollenrock.core.dispatch;

/** Decides what follows a failed send. */
public final class FailurePolicy {
  /** Refusals after which a request is refused too instead of trying yet another server. */
  private static final int MAX_REFUSALS = 6;

  private FailurePolicy() {}

  /**
   * Decides what follows.
   *
   * @param failure how the send failed
   * @param state how far the request has come
   * @return the next step; a resend or a resumption still needs time, a server and the retry budget
   */
  public static NextStep nextStep(SendFailure failure, SendState state) {
    if (state.relayed()) {
      boolean resume =
          state.resumable() && hasAttemptsLeft(state) && state.refusals() < MAX_REFUSALS;
      return resume ? NextStep.RESUME : NextStep.BREAK_OFF;
    }
    if (failure.certainlyNotRun()) {
      boolean again = state.refusals() < MAX_REFUSALS && hasAttemptsLeft(state);
      return again ? NextStep.RESEND : finalStep(failure, state);
    }
    boolean again = state.repeatable() && hasAttemptsLeft(state);
    return again ? NextStep.RESEND : finalStep(failure, state);
  }

  /**
   * Decides how a request ends that can't be sent again.
   *
   * @param failure how the last send failed
   * @param state how far the request has come
   * @return the last step
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
