package org.pollenrock.core.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Newest named version of each model's weights; versions only go up. */
public final class WeightsTargets {
  private final Map<String, Long> versions = new HashMap<>();

  /** Creates targets without a version. */
  public WeightsTargets() {}

  /**
   * A version was named.
   *
   * @param model the model
   * @param version its version
   * @return whether it is newer than the one known
   */
  public boolean named(String model, long version) {
    Long known = versions.get(model);
    if (known != null && known >= version) {
      return false;
    }
    versions.put(model, version);
    return true;
  }

  /**
   * Newest version of a model.
   *
   * @param model the model
   * @return the version, if one was named
   */
  public OptionalLong version(String model) {
    Long version = versions.get(model);
    return version == null ? OptionalLong.empty() : OptionalLong.of(version);
  }

  /**
   * All targets.
   *
   * @return versions by model
   */
  public Map<String, Long> all() {
    return Map.copyOf(versions);
  }
}
