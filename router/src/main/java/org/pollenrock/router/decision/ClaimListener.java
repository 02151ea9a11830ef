package org.pollenrock.router.decision;

import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.error.RequestError;

/** Hears on the decision thread what becomes of a claimed call. */
public interface ClaimListener {
  /** The call won its claim and may be sent, once. */
  void granted();

  /**
   * The call, or another one with the same key, ran.
   *
   * @param outcome the recorded outcome
   */
  void outcome(CallOutcome outcome);

  /**
   * The call is refused, or its outcome is not known.
   *
   * @param error what the caller is told
   */
  void error(RequestError error);
}
