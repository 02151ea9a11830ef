package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against running a non-repeatable request twice, and against refusing a request that may
 * have run.
 */
class FailurePolicyTest {
  private static SendState state(
      boolean repeatable, boolean mayHaveRun, int runs, boolean relayed) {
    return new SendState(repeatable, mayHaveRun, runs, 2, 0, relayed, repeatable);
  }

  @Test
  void nonRepeatableRequestIsResentOnlyIfItCertainlyDidNotRun() {
    assertThat(FailurePolicy.nextStep(SendFailure.NOT_SENT, state(false, false, 0, false)))
        .isEqualTo(NextStep.RESEND);
    assertThat(FailurePolicy.nextStep(SendFailure.REFUSED, state(false, false, 0, false)))
        .isEqualTo(NextStep.RESEND);
    assertThat(FailurePolicy.nextStep(SendFailure.BROKEN, state(false, true, 1, false)))
        .isEqualTo(NextStep.ANSWER_UNKNOWN);
    assertThat(FailurePolicy.nextStep(SendFailure.SERVER_ERROR, state(false, true, 1, false)))
        .isEqualTo(NextStep.PASS_ON);
  }

  @Test
  void brokenStreamIsResumedOnlyIfResumable() {
    assertThat(FailurePolicy.nextStep(SendFailure.BROKEN, state(true, true, 1, true)))
        .isEqualTo(NextStep.RESUME);
    assertThat(FailurePolicy.nextStep(SendFailure.BROKEN, state(false, true, 1, true)))
        .isEqualTo(NextStep.BREAK_OFF);
    assertThat(FailurePolicy.nextStep(SendFailure.BROKEN, state(true, true, 2, true)))
        .isEqualTo(NextStep.BREAK_OFF);
  }

  @Property(tries = 2000, seed = "7")
  void requestIsRefusedOnlyIfItDidNotRun(
      @ForAll SendFailure failure,
      @ForAll boolean repeatable,
      @ForAll boolean ranBefore,
      @ForAll @IntRange(min = 0, max = 4) int runs,
      @ForAll @IntRange(min = 1, max = 4) int maxAttempts,
      @ForAll @IntRange(min = 0, max = 8) int refusals,
      @ForAll boolean relayed,
      @ForAll boolean resumable) {
    boolean mayHaveRun = ranBefore || !failure.certainlyNotRun();
    SendState state =
        new SendState(repeatable, mayHaveRun, runs, maxAttempts, refusals, relayed, resumable);
    NextStep step = FailurePolicy.nextStep(failure, state);
    if (step == NextStep.REFUSE) {
      assertThat(mayHaveRun).isFalse();
    }
    if (step == NextStep.RESEND) {
      assertThat(repeatable || failure.certainlyNotRun()).isTrue();
      assertThat(relayed).isFalse();
    }
    if (step == NextStep.RESEND || step == NextStep.RESUME) {
      assertThat(runs).isLessThan(maxAttempts);
    }
    if (relayed) {
      assertThat(step).isIn(NextStep.RESUME, NextStep.BREAK_OFF);
    }
    assertThat(FailurePolicy.finalStep(failure, state)).isNotIn(NextStep.RESEND, NextStep.RESUME);
  }
}
