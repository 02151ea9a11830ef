package org.pollenrock.core.limits;

/**
 * Why a request was over its customer's quota.
 *
 * @param balance amount that this instance had, in the unit of the quota
 * @param sharePerSecond this instance's share of the rate, in units per second
 * @param ratePerSecond rate of the quota, in units per second
 * @param retryAfterNanos time after which an equal request may be within the quota
 */
public record QuotaExcess(
    double balance, double sharePerSecond, double ratePerSecond, long retryAfterNanos) {}
