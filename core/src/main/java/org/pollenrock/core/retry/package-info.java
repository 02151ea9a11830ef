/**
 * Retries of failed calls and ejection of failing servers.
 *
 * <p>A call is attempted again only if this cannot run a non-idempotent call twice, the deadline
 * allows it, attempts remain and the retry budget covers it. Retries are earned by first attempts,
 * so they do not multiply the load during an outage. {@link
 * org.pollenrock.core.retry.OutlierEjector} temporarily excludes failing servers, but never more
 * than a third of a model's servers and never the last one.
 */
package org.pollenrock.core.retry;
