package org.pollenrock.core.weights;

/**
 * Record by which an instance takes or keeps the right to give orders.
 *
 * @param holder name of the instance's machine
 * @param nonce differs for each claim, so that a claimant knows its own
 * @param handoverComplete whether the holder before can't have given an order for the handover
 *     time, so that the instance may go on at once after a restart
 */
public record OrderClaim(String holder, long nonce, boolean handoverComplete) {}
