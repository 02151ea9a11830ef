package org.pollenrock.core.claim;

import java.util.Objects;

/**
 * A non-idempotent call that asks for permission to run.
 *
 * @param id number of the call, unique within the router's incarnation
 * @param key digest of scope and key
 * @param keyTimeMillis time embedded in the key
 * @param bodyDigest digest of the request body
 * @param deadlineNanos time at which the caller must have an answer
 */
public record ClaimCall(
    long id, Digest256 key, long keyTimeMillis, Digest256 bodyDigest, long deadlineNanos) {
  /** Checks that the digests are present. */
  public ClaimCall {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
  }
}
