package org.pollenrock.core.order;

import java.util.Objects;

/**
 * Progress of a rollout.
 *
 * @param phase where it stands
 * @param reason why it waits or stopped, empty otherwise
 * @param servers servers in the target
 * @param done servers that report the target
 * @param loading servers that load
 * @param draining servers that finish requests before a load
 * @param failures failed loads
 */
public record RolloutState(
    Phase phase, String reason, int servers, int done, int loading, int draining, int failures) {
  /** Where a rollout stands. */
  public enum Phase {
    /** This router does not hold the lease or there is no target. */
    IDLE,
    /** The lease is new; loads of the predecessor may be under way. */
    SETTLING,
    /** Servers are being changed. */
    RUNNING,
    /** Servers remain to be changed, but none may be taken out of service now. */
    BLOCKED,
    /** Too many loads failed; nothing is ordered until the target changes. */
    STOPPED,
    /** Every server reports the target. */
    DONE
  }

  /** Checks that phase and reason are present. */
  public RolloutState {
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(reason, "reason");
  }
}
