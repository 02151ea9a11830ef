/**
 * Membership of the deployment: which backend servers and routers exist and may receive work.
 *
 * <p>{@link org.pollenrock.core.membership.ServerTable} combines evidence from the instance list,
 * the servers and the peers. A server is used only while its own report that it is live, received
 * by this router or a peer, is recent. {@link org.pollenrock.core.membership.RouterTable} keeps the
 * peers and the number of routers among which limits are divided. {@link
 * org.pollenrock.core.membership.WatchAssignment} divides servers among routers by rendezvous
 * hashing.
 */
package org.pollenrock.core.membership;
