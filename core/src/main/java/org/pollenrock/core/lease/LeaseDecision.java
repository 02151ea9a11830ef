package org.pollenrock.core.lease;

import java.util.Objects;

/** What the router must do next for a lease. */
public sealed interface LeaseDecision {
  /**
   * Append bytes to the lease stream; the result of the append is seen by reading the stream.
   *
   * @param data the bytes
   */
  record AppendLease(byte[] data) implements LeaseDecision {
    /** Checks that the data is present. */
    public AppendLease {
      Objects.requireNonNull(data, "data");
    }
  }

  /**
   * The lease may be used under this number.
   *
   * @param fencingNumber number to put on orders
   */
  record Acquired(FencingNumber fencingNumber) implements LeaseDecision {
    /** Checks that the number is present. */
    public Acquired {
      Objects.requireNonNull(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The lease must not be used any more.
   *
   * @param reason why, for the log
   */
  record Lost(String reason) implements LeaseDecision {
    /** Checks that the reason is present. */
    public Lost {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Call {@link LeaseHolder#tick} at this time; a later decision replaces it.
   *
   * @param nanos the time
   */
  record WakeAt(long nanos) implements LeaseDecision {}
}
