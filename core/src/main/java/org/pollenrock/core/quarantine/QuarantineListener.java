package org.pollenrock.core.quarantine;

/** Receives what the quarantine of an instance announces to the other instances. */
public interface QuarantineListener {
  /**
   * Called when this instance has found a strike that was not known before.
   *
   * @param strike the strike
   */
  void struck(CrashQuarantine.Strike strike);

  /**
   * Called when a request with a struck part has completed, or when strikes of other instances
   * concern a part that is known to have completed before.
   *
   * @param part hash of the part
   * @param nanos time of the completion
   */
  void cleared(long part, long nanos);

  /**
   * Called when a strike, found or applied, has quarantined a part here.
   *
   * @param part hash of the part
   * @param partId id of the part; empty if this instance has only its hash
   */
  void quarantined(long part, String partId);

  /**
   * Called when this instance has sent a request with a part that is on trial, so that no other
   * instance does the same.
   *
   * @param part hash of the part
   * @param nanos time of the send
   */
  default void tried(long part, long nanos) {}

  /**
   * Called when a request of this instance has completed with a part whose quarantine had been
   * announced.
   *
   * @param part hash of the part
   */
  default void released(long part) {}
}
