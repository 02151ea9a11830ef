package org.pollenrock.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against grace periods that begin when the list is read instead of when it came back. */
class RelistGraceTest {
  private static final long MILLI = 1_000_000L;
  private static final int SCHEDULES = 5_000;

  /**
   * Rule: once contact has been back for the contact limit, a server that has left gets no request.
   */
  @Test
  void graceEndsBeforeTheContactLimitWheneverTheListIsRead() {
    Random random = new Random(4_711);
    for (int schedule = 0; schedule < SCHEDULES; schedule++) {
      long contact = (500 + random.nextInt(6_000)) * MILLI;
      long back = random.nextInt(20_000) * MILLI;
      // The last failed attempt began before the return, and the list is read after it.
      long lastAttempt = back - random.nextInt(1_000) * MILLI;
      long read = back + random.nextInt(2_500) * MILLI;
      long graceEnd = read + new RelistGrace(contact).remainingNanos(read - lastAttempt);
      assertThat(graceEnd)
          .isLessThanOrEqualTo(Math.max(read, back + contact - RelistGrace.SEND_MARGIN_NANOS));
    }
  }

  @Test
  void graceLastsForTheRegistrationTimeIfTheListIsReadAtOnce() {
    assertThat(new RelistGrace(3_000 * MILLI).remainingNanos(0))
        .isEqualTo(RelistGrace.REGISTRATION_NANOS);
  }
}
