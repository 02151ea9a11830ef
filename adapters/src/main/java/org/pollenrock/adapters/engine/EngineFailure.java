package org.pollenrock.adapters.engine;

import org.pollenrock.core.error.RequestError;

/** Why an attempt on an engine ended without a complete answer. */
public sealed interface EngineFailure {
  /**
   * No byte of the request left.
   *
   * @param error the refusal, with step and peer
   */
  record NotSent(RequestError error) implements EngineFailure {}

  /**
   * The engine's incarnation or weights differ from the expected ones; it did not run the request.
   *
   * @param head the identity that the engine reported
   */
  record IdentityDiffers(EngineHead head) implements EngineFailure {}

  /**
   * The engine is leaving; it did not run the request.
   *
   * @param head the identity that the engine reported
   */
  record Leaving(EngineHead head) implements EngineFailure {}

  /**
   * The engine answered with another error status.
   *
   * @param head status and identity
   * @param message the body, cut to its bound
   */
  record Rejected(EngineHead head, String message) implements EngineFailure {}

  /**
   * The exchange broke after the request may have arrived.
   *
   * @param error the uncertain outcome, with step and peer
   */
  record Broken(RequestError error) implements EngineFailure {}
}
