package org.pollenrock.router.decision;

import org.pollenrock.core.error.RequestError;

/** Whether a request was admitted. */
public sealed interface AdmitAnswer {
  /** The request may run until its ticket is released. */
  record Admitted() implements AdmitAnswer {}

  /**
   * The request is refused; nothing is held for it.
   *
   * @param error what the caller is told
   * @param retryAfterNanos when the same request may pass, 0 when that is not known
   */
  record Refused(RequestError error, long retryAfterNanos) implements AdmitAnswer {}
}
