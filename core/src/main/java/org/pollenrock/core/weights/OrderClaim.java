package org.pollenrock.core.weights;

/**
 * Log record by which an instance acquires or renews the right to send load orders.
 *
 * @param holder name of the machine that the instance runs on
 * @param nonce number that differs for every claim, so that a claimant recognizes its own claims
 * @param handoverComplete whether the handover time since the last possible order of the previous
 *     holder had passed, so that the instance may send orders at once after a restart
 * @param era era of the log in which the claim was made; 0 if the log names none
 */
public record OrderClaim(String holder, long nonce, boolean handoverComplete, long era) {}
