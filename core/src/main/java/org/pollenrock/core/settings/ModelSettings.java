package org.pollenrock.core.settings;

import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * What the tree says of a model.
 *
 * @param version weights that its servers shall serve
 * @param adapters adapters that may be asked for
 * @param rollout how new weights are rolled out
 */
public record ModelSettings(
    WeightsVersion version, List<AdapterId> adapters, RolloutSettings rollout) {
  /** Copies the adapters. */
  public ModelSettings {
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(rollout, "rollout");
    adapters = List.copyOf(adapters);
  }
}
