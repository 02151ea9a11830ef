package org.pollenrock.router.decision;

import org.pollenrock.core.retry.CallProgress;
import org.pollenrock.core.retry.FailedAttempt;
import org.pollenrock.router.settings.RequestValues;

/**
 * A failed attempt and the request that it was made for.
 *
 * @param failed the attempt
 * @param progress what is known of the request
 * @param values values in force
 */
public record RetryQuestion(FailedAttempt failed, CallProgress progress, RequestValues values) {}
