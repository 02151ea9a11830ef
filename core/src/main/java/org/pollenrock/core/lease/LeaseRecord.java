package org.pollenrock.core.lease;

import java.util.Objects;

/** One record of the lease stream. */
public sealed interface LeaseRecord {
  /**
   * What the lease is for.
   *
   * @return name of the group
   */
  String group();

  /**
   * Who wrote the record.
   *
   * @return the owner
   */
  LeaseOwner owner();

  /**
   * Asks for the lease or renews it.
   *
   * @param group what the lease is for
   * @param owner who asks
   * @param requestId number of the request, unique within the owner
   * @param durationMillis how long the lease lasts from the record's log time
   */
  record Acquire(String group, LeaseOwner owner, long requestId, long durationMillis)
      implements LeaseRecord {
    /** Checks that the parts are present. */
    public Acquire {
      Objects.requireNonNull(group, "group");
      Objects.requireNonNull(owner, "owner");
    }
  }

  /**
   * Gives the lease up before it expires.
   *
   * @param group what the lease is for
   * @param owner who gives it up
   */
  record Release(String group, LeaseOwner owner) implements LeaseRecord {
    /** Checks that the parts are present. */
    public Release {
      Objects.requireNonNull(group, "group");
      Objects.requireNonNull(owner, "owner");
    }
  }
}
