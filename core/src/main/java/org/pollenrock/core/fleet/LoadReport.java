package org.pollenrock.core.fleet;

import java.util.OptionalInt;

/**
 * Load of a backend server as reported in the headers of its responses.
 *
 * @param running number of requests that the server is running
 * @param waiting number of requests in the server's queue
 * @param slots number of requests that the server runs concurrently; 0 if unknown
 * @param pacePercent how long work takes on the server's machine now, in percent of the usual time;
 *     empty if the server does not state it
 * @param paceUnreadable whether the server states a pace that can't be read
 */
public record LoadReport(
    int running, int waiting, int slots, OptionalInt pacePercent, boolean paceUnreadable) {
  /**
   * Creates the report of a server that states no pace.
   *
   * @param running number of requests that the server is running
   * @param waiting number of requests in the server's queue
   * @param slots number of requests that the server runs concurrently; 0 if unknown
   */
  public LoadReport(int running, int waiting, int slots) {
    this(running, waiting, slots, OptionalInt.empty(), false);
  }

  /**
   * Returns whether a server that refuses a request with this load is full. A server that loads
   * weights has refused all requests in its queue.
   *
   * @return true if the server is full, false if it loads weights
   */
  public boolean explainsRefusal() {
    return waiting > 0;
  }
}
