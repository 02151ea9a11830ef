package org.pollenrock.core.lease;

import java.util.Objects;

/** Action that a {@link LeaseHolder} asks its router to perform. */
public sealed interface LeaseDecision {
  /**
   * Append a record to the lease stream. Its result becomes known when the record is read back from
   * the stream.
   *
   * @param data the encoded record
   */
  record AppendLease(byte[] data) implements LeaseDecision {
    /** Checks that the data is not null. */
    public AppendLease {
      Objects.requireNonNull(data, "data");
    }
  }

  /**
   * The lease was granted or renewed and may be used with this fencing number.
   *
   * @param fencingNumber number to send with each order
   */
  record Acquired(FencingNumber fencingNumber) implements LeaseDecision {
    /** Checks that the fencing number is not null. */
    public Acquired {
      Objects.requireNonNull(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The router no longer holds the lease and must stop using it.
   *
   * @param reason cause of the loss, written to the log
   */
  record Lost(String reason) implements LeaseDecision {
    /** Checks that the reason is not null. */
    public Lost {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Call {@link LeaseHolder#tick} at the given time. A later {@code WakeAt} replaces this one.
   *
   * @param nanos time of the router's monotonic clock in nanoseconds
   */
  record WakeAt(long nanos) implements LeaseDecision {}
}
