package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.error.Step;

/** Outcome of a call of the {@link ControlClient}. */
public sealed interface CallResult {
  /**
   * The service sent a complete response.
   *
   * @param status status of the response
   * @param headers headers of the response
   * @param body body of the response
   */
  record Answered(int status, HttpHeaders headers, byte[] body) implements CallResult {
    /** Returns the status and the length of the body, for log lines. */
    @Override
    public String toString() {
      return "status " + status + ", body of " + body.length + " bytes";
    }
  }

  /**
   * No complete response arrived. If the request was sent, the service may have carried it out or
   * may still do so.
   *
   * @param step step at which the call failed
   * @param peer host and port of the service
   * @param cause description of the failure
   * @param sent whether the request may have reached the service
   */
  record Failed(Step step, String peer, String cause, boolean sent) implements CallResult {
    /** Returns the step, the service and the cause, for log lines. */
    @Override
    public String toString() {
      return step + " " + peer + ": " + cause;
    }
  }
}
