package org.pollenrock.adapters.log;

/** Names of the log's streams that Pollenrock uses. */
public final class LogStreams {
  /** Changes and snapshots of the settings. */
  public static final String SETTINGS = "settings";

  /** Claims and outcomes of non-idempotent calls. */
  public static final String CLAIMS = "claims";

  /** Leases, whose offsets are fencing numbers. */
  public static final String LEASES = "leases";

  /** Servers from which new work is held back while they are drained for a load. */
  public static final String DRAINS = "drains";

  private LogStreams() {}
}
