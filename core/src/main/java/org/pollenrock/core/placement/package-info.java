/**
 * Where a request goes, and why.
 *
 * <p>{@link org.pollenrock.core.placement.Placer} is the facade: it knows the load of the servers,
 * what they cache and what this router has in flight, and asks a {@link
 * org.pollenrock.core.placement.PlacementStrategy} to choose. The expected-cost strategy compares
 * the expected time to first token on the servers that are believed to hold part of the prefix, on
 * its rendezvous homes and on two sampled servers. Rendezvous hashing lets routers agree without
 * messages; sampling keeps them from all choosing the same idle server on one stale report. A home
 * is not charged for prefill that later requests use there as well: levels that every server sees
 * within a block lifetime, and the deepest level of a prefix that is hot enough for several homes.
 * A prefix that is new to the router goes to a few servers shared by its parent level once nearly
 * all new prefixes below that parent turned out to be cached nowhere.
 */
package org.pollenrock.core.placement;
