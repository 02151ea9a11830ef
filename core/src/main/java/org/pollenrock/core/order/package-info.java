/**
 * Rollouts of model weights: plans the orders that tell backend servers what to serve.
 *
 * <p>The holder of the order lease drives a {@link org.pollenrock.core.order.RolloutPlanner}. Its
 * only inputs are the lease, the target from the settings and the reports of servers, so another
 * router can take over at any time. Orders are declarative and idempotent; a server whose report
 * differs from the target is ordered again.
 */
package org.pollenrock.core.order;
