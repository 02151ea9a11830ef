package org.pollenrock.core.claim;

/** Progress of one call in the coordinator. */
final class CallState {
  /** Phases of a call. */
  enum Phase {
    /** The key's time is ahead of the newest log time; a time mark was appended. */
    AWAITING_TIME,
    /** The call's own claim is queued, being appended or not read back yet. */
    CLAIMING,
    /** Another claim holds the key. */
    WAITING,
    /** The own claim won; no byte has left. */
    GRANTED,
    /** Bytes may have left. */
    SENT
  }

  private final ClaimCall call;
  private final long patienceEndNanos;
  private Phase phase;
  private ClaimId claim;
  private boolean answered;

  CallState(ClaimCall call, long patienceEndNanos) {
    this.call = call;
    this.patienceEndNanos = patienceEndNanos;
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

  boolean answered() {
    return answered;
  }

  void markAnswered() {
    answered = true;
  }

  void moveTo(Phase next) {
    phase = next;
  }

  void claimWith(ClaimId id) {
    claim = id;
    phase = Phase.CLAIMING;
  }

  void loseClaim() {
    claim = null;
    phase = Phase.WAITING;
  }

  /** Time by which the caller is answered: patience bounds all waits but that for the service. */
  long answerByNanos() {
    boolean running = phase == Phase.GRANTED || phase == Phase.SENT;
    return running ? call.deadlineNanos() : Math.min(call.deadlineNanos(), patienceEndNanos);
  }
}
