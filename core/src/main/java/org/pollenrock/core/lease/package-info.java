/**
 * Leases on the platform's log: who may give orders.
 *
 * <p>{@link org.pollenrock.core.lease.LeaseTable} follows from the log alone; the log's record
 * times decide whether a lease has expired, never a router's clock. {@link
 * org.pollenrock.core.lease.LeaseHolder} is a router's local view, which ends earlier than the
 * log's: it counts from before the append was sent, minus a margin. The offset of the newest
 * granted record is the fencing number.
 */
package org.pollenrock.core.lease;
