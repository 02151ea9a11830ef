package org.pollenrock.core.claim;

/** Progress of one non-idempotent call in the {@link ClaimCoordinator}. */
final class CallState {
  /** Phases of a call. */
  enum Phase {
    /**
     * The key's time is too far ahead of the newest log time; a time mark is queued to advance the
     * log time.
     */
    AWAITING_LOG_TIME,
    /** The claim of this call is queued, being appended or not read back yet. */
    CLAIMING,
    /** Another claim holds or seeks the key; the call waits for its outcome. */
    WAITING,
    /** The claim of this call won; no byte of the call was sent yet. */
    GRANTED,
    /** Bytes of the call may have been sent to the service. */
    SENT
  }

  private final ClaimCall call;
  private final long waitDeadlineNanos;
  private Phase phase;
  private ClaimId claim;
  private boolean answered;

  CallState(ClaimCall call, long waitDeadlineNanos) {
    this.call = call;
    this.waitDeadlineNanos = waitDeadlineNanos;
  }

  ClaimCall call() {
    return call;
  }

  Phase phase() {
    return phase;
  }

  ClaimId claim() {
    return claim;
  }

  /** Returns whether the call needs no reply: it has received one, or its caller disconnected. */
  boolean isAnswered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }

  void setPhase(Phase next) {
    phase = next;
  }

  void startClaim(ClaimId id) {
    claim = id;
    phase = Phase.CLAIMING;
  }

  void clearClaim() {
    claim = null;
    phase = Phase.WAITING;
  }

  /**
   * Returns the time by which the caller must have a reply. The maximum wait limits every phase
   * except the exchange with the service, which only the deadline of the call limits.
   */
  long replyDeadlineNanos() {
    boolean running = phase == Phase.GRANTED || phase == Phase.SENT;
    return running ? call.deadlineNanos() : Math.min(call.deadlineNanos(), waitDeadlineNanos);
  }
}
