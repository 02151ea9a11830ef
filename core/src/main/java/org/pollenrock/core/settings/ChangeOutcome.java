package org.pollenrock.core.settings;

import java.util.Objects;

/** What became of a change. */
public sealed interface ChangeOutcome {
  /**
   * Log offset of the record that was decided; of an accepted change also its revision.
   *
   * @return the offset
   */
  long offset();

  /**
   * The change is in force.
   *
   * @param offset log offset, which is the revision
   */
  record Accepted(long offset) implements ChangeOutcome {}

  /**
   * The change has no effect.
   *
   * @param offset log offset
   * @param reason why
   * @param detail the path and what is wrong with it
   */
  record Refused(long offset, RefusalReason reason, String detail) implements ChangeOutcome {
    /** Greatest length of a detail in characters. */
    public static final int MAX_DETAIL = 512;

    /** Shortens a long detail. */
    public Refused {
      Objects.requireNonNull(reason, "reason");
      Objects.requireNonNull(detail, "detail");
      detail = detail.length() <= MAX_DETAIL ? detail : detail.substring(0, MAX_DETAIL);
    }
  }
}
