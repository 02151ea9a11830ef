/**
 * At-most-once execution of non-idempotent calls over the platform's log.
 *
 * <p>Each router appends a claim for the call's key and sends the call only after it has read its
 * own claim back as the first valid one of the key. A claim is valid only when the key's embedded
 * time lies within the key window around the time that the log gave the claim, so the winner is a
 * pure function of the log and a claim that takes effect late cannot win. Claims never pass to
 * another router or incarnation. {@link org.pollenrock.core.claim.ClaimTable} is the state that
 * follows from the log, {@link org.pollenrock.core.claim.ClaimBatcher} decides when to append, and
 * {@link org.pollenrock.core.claim.ClaimCoordinator} drives the calls of one router.
 */
package org.pollenrock.core.claim;
