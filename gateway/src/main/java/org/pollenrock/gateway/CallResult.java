package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.error.Step;

/** Outcome of a call to an outside service. */
public sealed interface CallResult {
  /**
   * The service answered.
   *
   * @param status status of the answer
   * @param headers its headers
   * @param body its body
   */
  record Answered(int status, HttpHeaders headers, byte[] body) implements CallResult {}

  /**
   * No whole answer came; the call may have been carried out, or may be later.
   *
   * @param step step at which it failed
   * @param peer address of the service
   * @param cause what happened
   * @param sent whether the call may have reached the service
   */
  record Failed(Step step, String peer, String cause, boolean sent) implements CallResult {}
}
