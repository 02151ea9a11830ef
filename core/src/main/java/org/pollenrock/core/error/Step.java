package org.pollenrock.core.error;

/** Steps of the filter chain that processes a request, used to state where an error occurred. */
public enum Step {
  /** Reads the method, path and body of the request. */
  READ,
  /** Checks the API key. */
  AUTHENTICATE,
  /** Determines the kind of the request, the settings in force for it and its deadline. */
  IDENTIFY,
  /** Determines the model or the plain service that serves the request. */
  RESOLVE,
  /** Claims a non-idempotent call that has an idempotency key. */
  CLAIM,
  /** Charges the request to its limits and waits for a slot. */
  ADMIT,
  /** Computes the digests of the prompt's blocks. */
  FINGERPRINT,
  /** Chooses the server. */
  CHOOSE,
  /** Sends the request to the chosen server. */
  SEND,
  /** Verifies that the response belongs to the request. */
  VERIFY,
  /** Relays the response to the caller. */
  RELAY,
  /** Reports a failure to the caller, cancels unneeded work and releases resources. */
  FINISH
}
