/**
 * Orders to backend servers: what each shall serve, given one after another.
 *
 * <p>The holder of the order lease drives a {@link org.pollenrock.core.order.RolloutPlanner}. Its
 * only knowledge is the target from settings and what servers report, so another router can take
 * over at any moment. Orders are declarative and idempotent; a difference between report and target
 * is ordered again.
 */
package org.pollenrock.core.order;
