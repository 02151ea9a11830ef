package org.pollenrock.core.dispatch;

/** Result of submitting a request to the {@link Dispatcher}. */
public sealed interface DispatchResult {
  /**
   * The request goes to a server and counts towards its load from now on.
   *
   * @param choice the chosen server
   */
  record Sent(Selection.Chosen choice) implements DispatchResult {}

  /**
   * The request waits in the queue.
   *
   * @param entry its queue entry
   */
  record Queued(QueueEntry entry) implements DispatchResult {}

  /**
   * The request is refused.
   *
   * @param cause reason for the refusal
   */
  record Refused(Cause cause) implements DispatchResult {}

  /**
   * A request that left the queue for a server and counts towards its load from now on.
   *
   * @param entry its former queue entry
   * @param choice the chosen server
   */
  record Released(QueueEntry entry, Selection.Chosen choice) {}

  /** Reason for refusing a request. */
  enum Cause {
    /** No server of the service is known, or none serves the model. */
    NO_SERVER,
    /** Too many requests of the same or higher urgency are waiting. */
    QUEUE_FULL,
    /** The request reached its queue deadline. */
    WAITED,
    /** The request is not expected to leave the queue before its deadline. */
    WAIT_TOO_LONG,
    /** The request would have to be resent, and the retry budget is used up. */
    RETRY_BUDGET,
    /** Several servers refused the request. */
    SERVERS_REFUSED,
    /** No configuration is known yet. */
    NO_CONFIGURATION,
    /** This instance is stopping and accepts no more requests. */
    STOPPING,
    /** The request bodies in memory exceed their limit in bytes. */
    MEMORY,
    /** Nothing tells which software version has begun the stream that the request takes up. */
    UNKNOWN_ORIGIN,
    /** The request, or a part of its prompt, is quarantined because servers crashed under it. */
    QUARANTINED,
    /** All servers that could take the request have named request rates that are used up. */
    RATE_LIMITED,
    /** All servers that could take the request have asked for a pause. */
    ON_HOLD,
    /** The request exceeds the quota of its customer. */
    QUOTA
  }
}
