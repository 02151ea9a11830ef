package org.pollenrock.adapters.log;

/** Names of the log's streams that Pollenrock uses. */
public final class LogStreams {
  /** Changes and snapshots of the settings. */
  public static final String SETTINGS = "settings";

  /** Claims and outcomes of non-idempotent calls. */
  public static final String CLAIMS = "claims";

  private LogStreams() {}
}
