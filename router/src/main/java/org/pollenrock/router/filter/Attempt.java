package org.pollenrock.router.filter;

/** One send of a request to a server; confined to the exchange's event loop. */
interface Attempt {
  /** Stops the work: closes the connection and, for an engine, asks it to stop. */
  void cancel();

  /** The caller's connection takes more, or stopped doing so. */
  void callerWritable(boolean writable);

  /** Verifies the identity of the answer; true when it may be relayed. */
  boolean verified();

  /** Relays the verified answer. */
  void relay();
}
