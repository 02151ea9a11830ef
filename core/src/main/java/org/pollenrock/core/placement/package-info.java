/**
 * Where a request goes, and why.
 *
 * <p>{@link org.pollenrock.core.placement.Placer} is the facade: it knows the load of the servers,
 * what they cache and what this router has in flight, and asks a {@link
 * org.pollenrock.core.placement.PlacementStrategy} to choose. The expected-cost strategy compares
 * the expected time to first token on the servers that are believed to hold part of the prefix, on
 * its rendezvous homes and on two sampled servers. Rendezvous hashing lets routers agree without
 * messages; sampling keeps them from all choosing the same idle server on one stale report.
 */
package org.pollenrock.core.placement;
