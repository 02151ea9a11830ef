/**
 * What each backend server is believed to cache.
 *
 * <p>{@link org.pollenrock.core.cache.CacheIndex} records which server holds which block, learned
 * from this router's own requests and from the cache events of the servers. Knowledge belongs to a
 * server and its incarnation, loses confidence with the server's measured block lifetime, and is
 * bounded by a number of entries with a floor for each customer.
 */
package org.pollenrock.core.cache;
