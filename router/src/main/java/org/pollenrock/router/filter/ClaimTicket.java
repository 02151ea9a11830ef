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

  void cancelUnlessSent() {
    if (!asked && settle()) {
      decisions.claimCancelled(callId);
    }
  }

  private boolean settle() {
    boolean first = !settled;
    settled = true;
    return first;
  }
}
