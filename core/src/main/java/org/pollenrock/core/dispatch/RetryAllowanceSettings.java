package org.pollenrock.core.dispatch;

/**
 * Retry budget of one service over all instances.
 *
 * @param ratio further sends for each request
 * @param slack further sends that are allowed besides
 * @param windowNanos length of the sliding window
 */
public record RetryAllowanceSettings(double ratio, int slack, long windowNanos) {}
