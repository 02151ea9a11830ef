/**
 * Placement of model requests: the choice of a backend server for each request.
 *
 * <p>{@link org.pollenrock.core.placement.Placer} is the facade. It keeps the load of the servers,
 * an index of the blocks that they are believed to have cached and the requests that this router
 * has in flight, and asks a {@link org.pollenrock.core.placement.PlacementStrategy} to rank the
 * servers.
 *
 * <p>A prompt has nested prefix levels, for example service, customer and dossier. Rendezvous
 * hashing assigns each prefix one or more servers, its homes. Routers agree on the homes without
 * exchanging messages.
 *
 * <p>The expected-cost strategy compares the servers that are believed to hold part of the prefix,
 * the homes of the prefix and two sampled servers. Sampling prevents routers that act on the same
 * stale report from all choosing the same idle server. The cost combines the expected time to first
 * token with the time that other requests lose, for example because new blocks evict theirs. A home
 * is not charged for prefill that later requests will reuse there: the prefill of levels that every
 * server receives within the lifetime of a block, and of the deepest level of a prefix that is hot
 * enough for several homes.
 *
 * <p>When nearly all new prefixes below a parent level turn out to be cached nowhere (long-tail
 * traffic), further new prefixes are placed on a few servers that their parent level selects.
 */
package org.pollenrock.core.placement;
