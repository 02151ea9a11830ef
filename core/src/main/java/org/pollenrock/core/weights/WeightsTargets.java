package org.pollenrock.core.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.WantedWeights;

/**
 * Newest named version of each model's weights; versions only go up.
 *
 * <p>Some time after a version was named, older weights must not be used any more. A version that
 * was found rather than seen being named may have been named long ago and binds at once.
 */
public final class WeightsTargets {
  private final long bindingNanos;
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Long> bindingFrom = new HashMap<>();

  /**
   * Creates targets without a version.
   *
   * @param bindingNanos time after the naming of a version from which older weights are not used
   */
  public WeightsTargets(long bindingNanos) {
    this.bindingNanos = bindingNanos;
  }

  /**
   * A version was named.
   *
   * @param model the model
   * @param version its version
   * @param seen whether it was seen being named, just now
   * @param nowNanos current time
   * @return whether it is newer than the one known
   */
  public boolean named(String model, long version, boolean seen, long nowNanos) {
    Long known = versions.get(model);
    if (known != null && known >= version) {
      return false;
    }
    versions.put(model, version);
    bindingFrom.put(model, seen ? nowNanos + bindingNanos : nowNanos);
    return true;
  }

  /**
   * Version that a request should run on.
   *
   * @param model the model
   * @param nowNanos current time
   * @return the version, and whether it binds
   */
  public WantedWeights wanted(String model, long nowNanos) {
    Long version = versions.get(model);
    if (version == null) {
      return WantedWeights.NONE;
    }
    return new WantedWeights(OptionalLong.of(version), nowNanos - bindingFrom.get(model) >= 0);
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
