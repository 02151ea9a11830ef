package org.pollenrock.core.settings;

import java.util.Locale;

/** Why a change was refused. */
public enum RefusalReason {
  /** A touched path was changed after the base revision. */
  CONFLICT,
  /** An edit does not apply, or the resulting tree breaks the schema. */
  INVALID,
  /** The base lies before the changes that routers remember. */
  BASE_TOO_OLD,
  /** The base is not an earlier offset of the log. */
  BASE_UNKNOWN,
  /** The resulting tree exceeds the bound on its size. */
  TOO_LARGE;

  /**
   * Name in output and metrics.
   *
   * @return the lower-case name
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
