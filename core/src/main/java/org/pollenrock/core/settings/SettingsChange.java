package org.pollenrock.core.settings;

import java.util.List;
import java.util.Objects;
import java.util.UUID;

/**
 * A change that an operator publishes on the log.
 *
 * @param id identity of the change; a repeated id has no second effect
 * @param author who publishes it
 * @param base the revision or log offset up to which the author had read; -1 for none
 * @param edits the steps, applied in order, all or none
 */
public record SettingsChange(UUID id, String author, long base, List<SettingsEdit> edits) {
  /** Greatest number of edits. */
  public static final int MAX_EDITS = 10_000;

  /** Greatest length of an author's name in characters. */
  public static final int MAX_AUTHOR = 128;

  /**
   * Copies the edits.
   *
   * @throws IllegalArgumentException when there is no edit or a bound is exceeded
   */
  public SettingsChange {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(author, "author");
    edits = List.copyOf(edits);
    if (edits.isEmpty() || edits.size() > MAX_EDITS) {
      throw new IllegalArgumentException("a change has 1 to " + MAX_EDITS + " edits");
    }
    if (author.length() > MAX_AUTHOR) {
      throw new IllegalArgumentException("an author has at most " + MAX_AUTHOR + " characters");
    }
    if (base < SettingsHistory.NO_REVISION) {
      throw new IllegalArgumentException("base " + base);
    }
  }
}
