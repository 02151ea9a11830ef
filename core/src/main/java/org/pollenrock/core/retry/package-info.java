/**
 * Whether to try a failed call again, when, and which servers to leave out.
 *
 * <p>A call is repeated only when that cannot run a non-idempotent call twice, its deadline allows
 * it, attempts remain and the retry budget pays for it. Budgets are earned by first attempts, so
 * retries never multiply load during an outage. {@link org.pollenrock.core.retry.OutlierEjector}
 * keeps failing servers out, but never more than a third of a model's servers and never the last.
 */
package org.pollenrock.core.retry;
