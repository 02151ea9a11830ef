package org.pollenrock.core.order;

import java.util.Objects;

/**
 * Progress of a rollout.
 *
 * <p>The log prints this record with {@code toString}, so its name and those of its components are
 * part of the log format.
 *
 * @param phase current phase
 * @param reason why the rollout is blocked or stopped; empty in other phases
 * @param servers number of servers in the target
 * @param done number of servers that report the assignment of the target
 * @param loading number of servers that load
 * @param draining number of servers that finish requests before a load
 * @param failures number of failed loads
 */
public record RolloutState(
    Phase phase, String reason, int servers, int done, int loading, int draining, int failures) {
  /** Phases of a rollout. */
  public enum Phase {
    /** This router does not hold the lease, or no target is set. */
    IDLE,
    /** The lease is new; loads ordered by the previous holder may still be running. */
    SETTLING,
    /** Servers are being changed. */
    RUNNING,
    /** Servers remain to be changed, but none can be taken out of service now. */
    BLOCKED,
    /** Too many loads failed; no order is sent until the target changes. */
    STOPPED,
    /** Every server reports the assignment of the target. */
    DONE
  }

  /** Checks that phase and reason are not null. */
  public RolloutState {
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(reason, "reason");
  }
}
