/**
 * At-most-once execution of non-idempotent calls with the help of the platform's log.
 *
 * <p>A router appends a claim for the idempotency key of a call and sends the call only after it
 * has read that claim back from the log as the first valid claim of the key. A claim is valid only
 * when the time embedded in the key lies within the key window around the time that the log
 * assigned to the claim. The winner is therefore a pure function of the log, and a claim that is
 * appended late cannot win. Claims are never transferred to another router or incarnation.
 *
 * <p>{@link org.pollenrock.core.claim.ClaimTable} holds the state that follows from the log, {@link
 * org.pollenrock.core.claim.ClaimBatcher} decides when to append records, and {@link
 * org.pollenrock.core.claim.ClaimCoordinator} coordinates the calls of one router.
 */
package org.pollenrock.core.claim;
