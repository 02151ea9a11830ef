/**
 * Which backend servers and routers exist and may get work.
 *
 * <p>{@link org.pollenrock.core.membership.ServerTable} combines evidence from the instance list,
 * the servers themselves and peers; a server is used only while it says itself, to this router or
 * to a peer, that it is live. {@link org.pollenrock.core.membership.RouterTable} knows the peers
 * and the count that limit shares are computed with. {@link
 * org.pollenrock.core.membership.WatchAssignment} divides servers among routers by rendezvous
 * hashing.
 */
package org.pollenrock.core.membership;
