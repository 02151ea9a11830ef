package org.pollenrock.router.filter;

import java.util.function.Consumer;
import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.router.decision.Decisions;

/** The claim of one call, from its grant to its end; confined to the exchange's event loop. */
final class ClaimTicket {
  private final long callId;
  private final Decisions decisions;
  private boolean asked;
  private boolean inFlight;
  private boolean settled;

  ClaimTicket(long callId, Decisions decisions) {
    this.callId = callId;
    this.decisions = decisions;
  }

  /**
   * Asks whether the call may be sent. A second attempt under one grant follows only when no byte
   * of the first one left, so it need not ask again.
   */
  void maySend(Consumer<Boolean> reply) {
    if (asked) {
      reply.accept(true);
      return;
    }
    asked = true;
    decisions.maySendClaimed(callId, reply);
  }

  /** Notes that bytes may leave from now on, until {@link #returned}. */
  void sending() {
    inFlight = true;
  }

  /** Notes that an attempt ended. */
  void returned() {
    inFlight = false;
  }

  void finished(CallOutcome outcome) {
    if (settle()) {
      decisions.claimFinished(callId, outcome);
    }
  }

  void unknown() {
    if (settle()) {
      decisions.claimUnknown(callId);
    }
  }

  void notSent(RequestError.Refusal reason) {
    if (settle()) {
      decisions.claimNotSent(callId, reason);
    }
  }

  /**
   * Ends the claim with its request, unless an attempt is in flight, which settles it later. No
   * byte left then: an attempt after which bytes may have left settles the claim itself.
   */
  void requestEnded(RequestError.Refusal reason) {
    if (inFlight || !settle()) {
      return;
    }
    if (asked) {
      decisions.claimNotSent(callId, reason);
    } else {
      decisions.claimCancelled(callId);
    }
  }

  private boolean settle() {
    boolean first = !settled;
    settled = true;
    return first;
  }
}
