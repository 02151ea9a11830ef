package org.pollenrock.core.order;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.pollenrock.core.model.BackendServerId;

/**
 * The assignment that each server is to reach, and the limits of the rollout.
 *
 * @param revision settings revision that contains this target
 * @param assignments assignment of each server
 * @param limits limits of the rollout
 */
public record RolloutTarget(
    long revision, Map<BackendServerId, Assignment> assignments, RolloutLimits limits) {
  /** Copies the assignments and checks that the limits are not null. */
  public RolloutTarget {
    assignments = Map.copyOf(assignments);
    Objects.requireNonNull(limits, "limits");
  }

  /** Returns the assignments in the order of server names, so that planning is deterministic. */
  Map<BackendServerId, Assignment> assignmentsInServerOrder() {
    return new TreeMap<>(assignments);
  }
}
