package org.pollenrock.core.ratelimit;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.pollenrock.core.membership.UnknownInstances;
import org.pollenrock.core.membership.WatchAssignment;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * This instance's share of the rates that servers name.
 *
 * <p>A few instances, its holders, divide the rate of a server evenly. Rendezvous hashing selects
 * them among the registered instances, so that instances which know the same instances agree
 * without communicating. An instance becomes a holder only when it has been one for a while in all
 * the lists of instances that it knew, because others may know other lists for as long. It ceases
 * to be one at once.
 */
public final class RateShares {
  /**
   * Maximum number of holders of a server. Each may have saved up one request, so that many would
   * exceed a low rate together.
   */
  public static final int MAX_HOLDERS = 4;

  /** Time in which every instance that reaches the store reads a changed list of instances. */
  public static final long SETTLING_NANOS = 15_000_000_000L;

  /**
   * List of instances that was in force for some time.
   *
   * @param instances the registered instances
   * @param sinceNanos time of the list's first read
   */
  private record Membership(Set<InstanceId> instances, long sinceNanos) {}

  private final InstanceId ownId;

  /** The lists that were in force during the settling time, the newest last. */
  private final Deque<Membership> memberships = new ArrayDeque<>();

  private boolean incomplete;
  private int changeCount;

  /**
   * Creates shares of an instance that knows no instances yet, and so holds nothing.
   *
   * @param ownId identity of this instance
   * @param nowNanos current time
   */
  public RateShares(InstanceId ownId, long nowNanos) {
    this.ownId = Objects.requireNonNull(ownId, "ownId");
    memberships.add(new Membership(Set.of(), nowNanos));
  }

  /**
   * Applies a complete list of the registered instances.
   *
   * @param instances the instances
   * @param nowNanos current time
   */
  public void applyInstances(Collection<InstanceId> instances, long nowNanos) {
    if (incomplete) {
      incomplete = false;
      changeCount++;
    }
    Set<InstanceId> newest = Set.copyOf(instances);
    if (!newest.equals(memberships.getLast().instances())) {
      memberships.addLast(new Membership(newest, nowNanos));
      changeCount++;
    }
  }

  /**
   * Records that there is an instance that the list lacks. This instance holds nothing until the
   * next list is applied.
   */
  public void recordUnknownInstance() {
    if (!incomplete) {
      incomplete = true;
      changeCount++;
    }
  }

  /**
   * Returns this instance's share of the rate of a server.
   *
   * @param server hash of the server's identity
   * @param nowNanos current time
   * @return share from 0 to 1; 0 if this instance is no holder
   */
  double share(long server, long nowNanos) {
    removeOutdated(nowNanos);
    if (incomplete) {
      return 0;
    }
    int holderCount = 0;
    String subject = Long.toHexString(server);
    for (Membership membership : memberships) {
      List<InstanceId> holders = WatchAssignment.rank(subject, membership.instances(), MAX_HOLDERS);
      if (!holders.contains(ownId)) {
        return 0;
      }
      holderCount = Math.max(holderCount, holders.size());
    }
    return 1.0 / holderCount;
  }

  /**
   * Returns the number of instances, or a high estimate while this instance may not know all.
   *
   * @param nowNanos current time
   * @return the number of instances; at least 1
   */
  int instanceCount(long nowNanos) {
    removeOutdated(nowNanos);
    int count = 0;
    for (Membership membership : memberships) {
      if (incomplete || !membership.instances().contains(ownId)) {
        return Math.max(UnknownInstances.ASSUMED_COUNT, memberships.getLast().instances().size());
      }
      count = Math.max(count, membership.instances().size());
    }
    return count;
  }

  /**
   * Returns a number that differs between instances and servers, to spread what instances do.
   *
   * @param server hash of the server's identity
   * @return the number
   */
  long spread(long server) {
    return RendezvousHash.mix(server ^ RendezvousHash.hash(ownId.value()));
  }

  /**
   * Returns a number that changes whenever shares may have changed.
   *
   * @param nowNanos current time
   * @return the number
   */
  int changeCount(long nowNanos) {
    removeOutdated(nowNanos);
    return changeCount;
  }

  /** Removes the lists that were replaced before the settling time began. */
  private void removeOutdated(long nowNanos) {
    while (memberships.size() > 1) {
      Iterator<Membership> oldest = memberships.iterator();
      oldest.next();
      if (nowNanos - oldest.next().sinceNanos() < SETTLING_NANOS) {
        return;
      }
      memberships.removeFirst();
      changeCount++;
    }
  }
}
