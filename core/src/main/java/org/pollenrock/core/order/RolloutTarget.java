package org.pollenrock.core.order;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.pollenrock.core.model.BackendServerId;

/**
 * What each server shall serve, and how carefully to get there.
 *
 * @param revision settings revision that states it
 * @param assignments what each server shall serve
 * @param limits how carefully
 */
public record RolloutTarget(
    long revision, Map<BackendServerId, Assignment> assignments, RolloutLimits limits) {
  /** Copies the assignments. */
  public RolloutTarget {
    assignments = Map.copyOf(assignments);
    Objects.requireNonNull(limits, "limits");
  }

  /** Assignments in the order of server names, so that planning is deterministic. */
  Map<BackendServerId, Assignment> assignmentsInServerOrder() {
    return new TreeMap<>(assignments);
  }
}
