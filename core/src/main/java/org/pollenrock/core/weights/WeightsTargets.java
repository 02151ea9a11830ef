package org.pollenrock.core.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.WeightsRequirement;

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
  private static final long PREFERENCE_DELAY_NANOS = 1_200_000_000L;

  /**
   * Part of the time until old weights are forbidden after which they are used only where no server
   * has newer ones, since a request may wait at a server before it runs.
   */
  private static final double FALLBACK_ONLY_SHARE = 0.7;

  private record TargetVersion(
      long version, long preferredFromNanos, long fallbackOnlyFromNanos, long mandatoryFromNanos) {}

  private final long mandatoryDelayNanos;
  private boolean logUnavailable;
  private final Map<String, List<TargetVersion>> versionsByModel = new HashMap<>();

  /**
   * Creates targets without a version.
   *
   * @param bindingNanos time after the naming of a version from which older weights are not used
   */
  public WeightsTargets(long bindingNanos) {
    this.mandatoryDelayNanos = bindingNanos;
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
  public boolean recordVersion(String model, long version, boolean seen, long nowNanos) {
    List<TargetVersion> known = versionsByModel.computeIfAbsent(model, added -> new ArrayList<>());
    if (!known.isEmpty() && known.getLast().version() >= version) {
      return false;
    }
    known.addLast(
        seen
            ? new TargetVersion(
                version,
                nowNanos + PREFERENCE_DELAY_NANOS,
                fallbackOnlyFrom(nowNanos),
                nowNanos + mandatoryDelayNanos)
            : new TargetVersion(version, nowNanos, nowNanos, nowNanos));
    return true;
  }

  /**
   * The log on which versions are named and orders are claimed can't be read, so that engines may
   * have to go on with old weights.
   */
  public void markLogUnavailable() {
    logUnavailable = true;
  }

  /**
   * The log can be read again; versions bind anew from now on.
   *
   * @param nowNanos current time
   */
  public void markLogAvailable(long nowNanos) {
    logUnavailable = false;
    versionsByModel
        .values()
        .forEach(
            known ->
                known.replaceAll(
                    named ->
                        new TargetVersion(
                            named.version(),
                            named.preferredFromNanos(),
                            fallbackOnlyFrom(nowNanos),
                            nowNanos + mandatoryDelayNanos)));
  }

  /**
   * Versions that a request may run on.
   *
   * @param model the model
   * @param nowNanos current time
   * @return the newest version, and the oldest that are as good, usual, or allowed at all
   */
  public WeightsRequirement requirement(String model, long nowNanos) {
    List<TargetVersion> known = versionsByModel.get(model);
    if (known == null) {
      return WeightsRequirement.NONE;
    }
    OptionalLong newest = OptionalLong.of(known.getLast().version());
    if (logUnavailable) {
      return WeightsRequirement.unrestricted(newest);
    }
    OptionalLong preferred = OptionalLong.empty();
    OptionalLong usual = OptionalLong.empty();
    OptionalLong oldest = OptionalLong.empty();
    for (TargetVersion named : known) {
      if (nowNanos - named.preferredFromNanos() >= 0) {
        preferred = OptionalLong.of(named.version());
      }
      if (nowNanos - named.fallbackOnlyFromNanos() >= 0) {
        usual = OptionalLong.of(named.version());
      }
      if (nowNanos - named.mandatoryFromNanos() >= 0) {
        oldest = OptionalLong.of(named.version());
      }
    }
    while (oldest.isPresent() && known.getFirst().version() < oldest.getAsLong()) {
      known.removeFirst();
    }
    return new WeightsRequirement(newest, preferred, usual, oldest);
  }

  /**
   * Newest version of a model.
   *
   * @param model the model
   * @return the version, if one was named
   */
  public OptionalLong newestVersion(String model) {
    List<TargetVersion> known = versionsByModel.get(model);
    return known == null ? OptionalLong.empty() : OptionalLong.of(known.getLast().version());
  }

  /**
   * All targets.
   *
   * @return newest versions by model
   */
  public Map<String, Long> newestVersions() {
    Map<String, Long> newest = new HashMap<>();
    versionsByModel.forEach((model, known) -> newest.put(model, known.getLast().version()));
    return newest;
  }

  private long fallbackOnlyFrom(long nowNanos) {
    return nowNanos + (long) (mandatoryDelayNanos * FALLBACK_ONLY_SHARE);
  }
}
