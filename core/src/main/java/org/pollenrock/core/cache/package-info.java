/**
 * Estimates which prefix blocks each backend server caches.
 *
 * <p>{@link org.pollenrock.core.cache.CacheIndex} records which server holds which block, based on
 * the requests of this router and on the cache events of the servers. An entry belongs to one
 * incarnation of a server, and its confidence decays with the estimated block lifetime of that
 * server. The number of entries is bounded, and each customer has a floor: a number of entries that
 * other customers cannot evict.
 */
package org.pollenrock.core.cache;
