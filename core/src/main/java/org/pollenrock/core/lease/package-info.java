/**
 * Leases, granted through the platform's log, that decide which router may send orders.
 *
 * <p>{@link org.pollenrock.core.lease.LeaseTable} derives the state of all leases from the log
 * alone. The log times of the records decide whether a lease has expired, never the clock of a
 * router. {@link org.pollenrock.core.lease.LeaseHolder} decides whether one router may use a lease.
 * It stops earlier than the lease expires in the log, because it counts the duration from before
 * the append was sent and subtracts a margin. The fencing number is the log offset of the latest
 * granted record.
 */
package org.pollenrock.core.lease;
