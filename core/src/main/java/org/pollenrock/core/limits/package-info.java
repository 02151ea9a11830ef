/**
 * Rate and concurrency limits, and admission of requests.
 *
 * <p>{@link org.pollenrock.core.limits.LimitTable} charges a request to all of its limits at once
 * or to none. A limit applies to all routers together without a coordinator: each router has an
 * equal base share, and {@link org.pollenrock.core.limits.ShareLedger} lends unused parts of the
 * share to peers for a short time. {@link org.pollenrock.core.limits.AdmissionQueue} orders waiting
 * requests by priority class and, within a class, fairly by customer weight. Under overload it
 * refuses requests of the lowest class first, and as early as possible, so that capacity is spent
 * only on requests that can still meet their deadline. A refused request is never dispatched later.
 */
package org.pollenrock.core.limits;
