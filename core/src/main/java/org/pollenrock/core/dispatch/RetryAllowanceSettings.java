package org.pollenrock.core.dispatch;

/**
 * Retry budget of one service over all instances.
 *
 * @param ratio resends allowed per request
 * @param slack resends allowed in addition, per window
 * @param windowNanos length of the sliding window
 */
public record RetryAllowanceSettings(double ratio, int slack, long windowNanos) {}
