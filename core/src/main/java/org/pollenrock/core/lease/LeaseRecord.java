package org.pollenrock.core.lease;

import java.util.Objects;

/** Record of the lease stream, written by a router. */
public sealed interface LeaseRecord {
  /**
   * Returns the group that the lease protects.
   *
   * @return name of the group
   */
  String group();

  /**
   * Returns the router incarnation that wrote the record.
   *
   * @return the owner
   */
  LeaseOwner owner();

  /**
   * Requests a lease or its renewal.
   *
   * @param group name of the group that the lease protects
   * @param owner router incarnation that requests the lease
   * @param requestId number of the request, unique for the owner
   * @param durationMillis duration of the lease in milliseconds, counted from the log time of the
   *     record
   */
  record Acquire(String group, LeaseOwner owner, long requestId, long durationMillis)
      implements LeaseRecord {
    /** Checks that no reference component is null. */
    public Acquire {
      Objects.requireNonNull(group, "group");
      Objects.requireNonNull(owner, "owner");
    }
  }

  /**
   * Releases a lease before it expires.
   *
   * @param group name of the group that the lease protects
   * @param owner router incarnation that releases the lease
   */
  record Release(String group, LeaseOwner owner) implements LeaseRecord {
    /** Checks that no reference component is null. */
    public Release {
      Objects.requireNonNull(group, "group");
      Objects.requireNonNull(owner, "owner");
    }
  }
}
