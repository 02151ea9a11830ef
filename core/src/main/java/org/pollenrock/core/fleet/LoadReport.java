package org.pollenrock.core.fleet;

/**
 * Load of a backend server as reported in the headers of its responses.
 *
 * @param running number of requests that the server is running
 * @param waiting number of requests in the server's queue
 * @param slots number of requests that the server runs concurrently; 0 if unknown
 */
public record LoadReport(int running, int waiting, int slots) {
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
