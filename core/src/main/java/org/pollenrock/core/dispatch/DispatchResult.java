package org.pollenrock.core.dispatch;

/** What became of a request that wants a server. */
public sealed interface DispatchResult {
  /**
   * It goes to a server, which counts it from now on.
   *
   * @param choice the server
   */
  record Sent(Selection.Chosen choice) implements DispatchResult {}

  /**
   * It waits.
   *
   * @param entry its place
   */
  record Queued(QueueEntry entry) implements DispatchResult {}

  /**
   * It can't be served.
   *
   * @param cause why not
   */
  record Refused(Cause cause) implements DispatchResult {}

  /**
   * A waiting request goes to a server, which counts it from now on.
   *
   * @param entry the place that it had
   * @param choice the server
   */
  record Released(QueueEntry entry, Selection.Chosen choice) {}

  /** Why a request can't be served. */
  enum Cause {
    /** No server of the service is known, or none serves the model. */
    NO_SERVER,
    /** Too many requests of the same or higher urgency wait. */
    QUEUE_FULL,
    /** It waited as long as it may. */
    WAITED,
    /** It would have to be sent again, and the retry budget is used up. */
    RETRY_BUDGET,
    /** Several servers refused it. */
    SERVERS_REFUSED,
    /** No configuration is known yet. */
    NO_CONFIGURATION,
    /** This instance stops and takes no more requests. */
    STOPPING,
    /** Too many bytes of request bodies are held. */
    MEMORY
  }
}
