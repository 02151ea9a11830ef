package org.pollenrock.core.claim;

import java.util.Objects;

/**
 * A non-idempotent call that needs a claim before it may be sent.
 *
 * @param id id of the call, unique within the incarnation of the router
 * @param key digest of customer, service and idempotency key
 * @param keyTimeMillis time embedded in the idempotency key, milliseconds since 1970
 * @param bodyDigest digest of the request body
 * @param deadlineNanos time by which the caller must have a reply
 */
public record ClaimCall(
    long id, Digest256 key, long keyTimeMillis, Digest256 bodyDigest, long deadlineNanos) {
  /** Checks that the digests are not null. */
  public ClaimCall {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
  }
}
