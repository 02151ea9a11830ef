package org.pollenrock.core.weights;

/**
 * Record by which an instance takes or keeps the right to give orders.
 *
 * @param holder name of the instance's machine
 * @param nonce differs for each claim, so that a claimant knows its own
 */
public record OrderClaim(String holder, long nonce) {}
