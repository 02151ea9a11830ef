package org.pollenrock.core.limits;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.pollenrock.core.membership.UnknownInstances;
import org.pollenrock.core.membership.WatchAssignment;
import org.pollenrock.core.model.InstanceId;

/**
 * Division of one customer's quota among the instances; all that know the same instances agree.
 *
 * @param evenFraction part that each instance has
 * @param holderFraction part that each holder has in addition
 * @param holders instances with an additional part; empty in small fleets
 * @param givers other instances that may be asked for a part of theirs
 */
record QuotaShares(
    double evenFraction, double holderFraction, Set<InstanceId> holders, List<InstanceId> givers) {
  /** Maximum number of instances that have more than the even part. */
  private static final int MAX_HOLDERS = 24;

  /** Part of the quota that is divided evenly in a fleet with more instances than holders. */
  private static final double EVEN_PART = 0.05;

  /** Shares of an instance that does not know the others. */
  static final QuotaShares UNKNOWN =
      new QuotaShares(1.0 / UnknownInstances.ASSUMED_COUNT, 0, Set.of(), List.of());

  /**
   * Divides a quota.
   *
   * @param customer name of the customer
   * @param self this instance
   * @param instances all instances; this one is included even if it is not listed
   */
  static QuotaShares of(String customer, InstanceId self, Collection<InstanceId> instances) {
    Set<InstanceId> all = new TreeSet<>(instances);
    all.add(self);
    int count = all.size();
    if (count <= MAX_HOLDERS) {
      return new QuotaShares(1.0 / count, 0, Set.of(), without(self, all));
    }
    List<InstanceId> holders = WatchAssignment.rank(customer, all, MAX_HOLDERS);
    return new QuotaShares(
        EVEN_PART / count,
        (1 - EVEN_PART) / MAX_HOLDERS,
        Set.copyOf(holders),
        without(self, holders));
  }

  /** Returns the part of the quota that an instance has. */
  double fraction(InstanceId instance) {
    return evenFraction + (holders.contains(instance) ? holderFraction : 0);
  }

  private static List<InstanceId> without(InstanceId self, Collection<InstanceId> instances) {
    return instances.stream().filter(instance -> !instance.equals(self)).toList();
  }
}
