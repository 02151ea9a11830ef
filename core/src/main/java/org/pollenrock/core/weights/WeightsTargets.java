package org.pollenrock.core.weights;

import java.util.ArrayDeque;
import java.util.Deque;
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
  /**
   * Time after the naming of a version from which servers with older weights are avoided, just
   * before their answers lose value. Until then their caches are worth more.
   */
  private static final long PREFERRED_NANOS = 1_200_000_000L;

  private record Named(long version, long preferredFromNanos, long bindingFromNanos) {}

  private final long bindingNanos;
  private final Map<String, Deque<Named>> versions = new HashMap<>();

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
    Deque<Named> known = versions.computeIfAbsent(model, added -> new ArrayDeque<>());
    if (!known.isEmpty() && known.getLast().version() >= version) {
      return false;
    }
    known.addLast(
        seen
            ? new Named(version, nowNanos + PREFERRED_NANOS, nowNanos + bindingNanos)
            : new Named(version, nowNanos, nowNanos));
    return true;
  }

  /**
   * Versions that a request may run on.
   *
   * @param model the model
   * @param nowNanos current time
   * @return the newest version, and the oldest that is preferred or may be used
   */
  public WantedWeights wanted(String model, long nowNanos) {
    Deque<Named> known = versions.get(model);
    if (known == null) {
      return WantedWeights.NONE;
    }
    OptionalLong oldest = OptionalLong.empty();
    OptionalLong preferred = OptionalLong.empty();
    for (Named named : known) {
      if (nowNanos - named.preferredFromNanos() >= 0) {
        preferred = OptionalLong.of(named.version());
      }
      if (nowNanos - named.bindingFromNanos() >= 0) {
        oldest = OptionalLong.of(named.version());
      }
    }
    while (oldest.isPresent() && known.getFirst().version() < oldest.getAsLong()) {
      known.removeFirst();
    }
    return new WantedWeights(OptionalLong.of(known.getLast().version()), preferred, oldest);
  }

  /**
   * Newest version of a model.
   *
   * @param model the model
   * @return the version, if one was named
   */
  public OptionalLong version(String model) {
    Deque<Named> known = versions.get(model);
    return known == null ? OptionalLong.empty() : OptionalLong.of(known.getLast().version());
  }

  /**
   * All targets.
   *
   * @return newest versions by model
   */
  public Map<String, Long> all() {
    Map<String, Long> newest = new HashMap<>();
    versions.forEach((model, known) -> newest.put(model, known.getLast().version()));
    return newest;
  }
}
