package org.pollenrock.gateway;

import java.util.Map;
import java.util.function.Consumer;
import org.pollenrock.core.origin.StreamOrigin;

/** Keeps the origins of streams where all instances find them, also after all have ended. */
public interface StreamOriginStore {
  /**
   * Stores origins of streams. Nothing waits for it.
   *
   * @param origins the origins by the ids of the attempts of callers
   */
  void append(Map<String, StreamOrigin> origins);

  /**
   * Reads what instances have stored since the last call, and applies it to the task.
   *
   * @param result called with whether everything was read
   */
  void readNew(Consumer<Boolean> result);

  /**
   * Reads the list of servers up to its end, and applies to the task the versions of servers that
   * this instance does not know yet.
   *
   * @param result called with whether the list was read without a gap
   */
  void readVersions(Consumer<Boolean> result);

  /** Reads which software versions other instances have stored, and applies them to the task. */
  void readListings();

  /**
   * Stores that other software versions of a service are listed than before.
   *
   * @param service name of the service
   */
  void storeListing(String service);
}
