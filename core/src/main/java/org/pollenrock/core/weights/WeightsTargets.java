package org.pollenrock.core.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.WeightsRequirement;

/**
 * Target version of the weights of each model, which is the newest published one. Versions only
 * increase.
 *
 * <p>A version becomes mandatory some time after its publication; from then on, older weights must
 * not be used. The time counts from the earliest possible publication, since an instance may read
 * the version much later. A version that was already published when this instance first read it is
 * mandatory at once, because it may have been published long ago.
 */
public final class WeightsTargets {
  /**
   * Time after the publication of a version from which selecting a server with older weights costs
   * more, shortly before its responses lose value. Until then, its cache entries are worth more.
   */
  private static final long PREFERENCE_DELAY_NANOS = 1_200_000_000L;

  /**
   * Share of the time until a version is mandatory, after which older weights are used only if no
   * server has newer ones. The margin exists because a request may wait at a server before it runs.
   */
  private static final double FALLBACK_ONLY_SHARE = 0.7;

  /** Published version and the times from which older versions are restricted. */
  private record TargetVersion(
      long version, long preferredFromNanos, long fallbackOnlyFromNanos, long mandatoryFromNanos) {
    private TargetVersion earlier(long nanos) {
      return new TargetVersion(
          version,
          preferredFromNanos - nanos,
          fallbackOnlyFromNanos - nanos,
          mandatoryFromNanos - nanos);
    }
  }

  private final long mandatoryDelayNanos;
  private boolean logUnavailable;
  private final Map<String, List<TargetVersion>> versionsByModel = new HashMap<>();

  /** Newest versions that this instance itself has read from the log. */
  private final Map<String, Long> readVersions = new HashMap<>();

  /**
   * Creates targets without any version.
   *
   * @param mandatoryDelayNanos time after the publication of a version from which it is mandatory
   */
  public WeightsTargets(long mandatoryDelayNanos) {
    this.mandatoryDelayNanos = mandatoryDelayNanos;
  }

  /**
   * Records a published version that this instance has read.
   *
   * @param model name of the model
   * @param version the version
   * @param maxAgeNanos longest time for which the version may have been published; large if this
   *     instance read late; empty if unknown
   * @param nowNanos current time
   * @return whether the version is newer than those read before
   */
  public boolean recordVersion(
      String model, long version, OptionalLong maxAgeNanos, long nowNanos) {
    Long read = readVersions.get(model);
    if (read != null && read >= version) {
      return false;
    }
    readVersions.put(model, version);
    addVersion(model, version, maxAgeNanos, nowNanos);
    return true;
  }

  /**
   * Applies a version that another instance has read. Requests follow it, but this instance orders
   * no engine to load it before it has read the version itself.
   *
   * @param model name of the model
   * @param version the version
   * @param maxAgeNanos longest time for which the version may have been published
   * @param nowNanos current time
   * @return whether the version is newer than the known ones
   */
  public boolean applyPeerVersion(String model, long version, long maxAgeNanos, long nowNanos) {
    return addVersion(model, version, OptionalLong.of(maxAgeNanos), nowNanos);
  }

  private boolean addVersion(String model, long version, OptionalLong maxAgeNanos, long nowNanos) {
    List<TargetVersion> targets =
        versionsByModel.computeIfAbsent(model, added -> new ArrayList<>());
    if (!targets.isEmpty() && targets.getLast().version() >= version) {
      return false;
    }
    targets.addLast(
        maxAgeNanos.isPresent()
            ? targetVersion(version, nowNanos - maxAgeNanos.getAsLong())
            : new TargetVersion(version, nowNanos, nowNanos, nowNanos));
    return true;
  }

  /**
   * Records that the log of published versions and order claims can't be read. Engines may have to
   * keep serving old weights, so no version is mandatory.
   */
  public void markLogUnavailable() {
    logUnavailable = true;
  }

  /**
   * Records that the log can be read again. The time until a version is mandatory starts anew.
   *
   * @param availableNanos earliest time at which the log may have been available again
   */
  public void markLogAvailable(long availableNanos) {
    logUnavailable = false;
    versionsByModel
        .values()
        .forEach(
            targets ->
                targets.replaceAll(
                    target ->
                        new TargetVersion(
                            target.version(),
                            target.preferredFromNanos(),
                            fallbackOnlyFrom(availableNanos),
                            availableNanos + mandatoryDelayNanos)));
  }

  /**
   * Records that the machine was suspended, during which the clock of this instance stood still.
   *
   * @param suspendedNanos duration of the suspension
   */
  public void recordSuspension(long suspendedNanos) {
    versionsByModel
        .values()
        .forEach(targets -> targets.replaceAll(target -> target.earlier(suspendedNanos)));
  }

  /**
   * Returns the versions on which a request may run.
   *
   * @param model name of the model
   * @param nowNanos current time
   * @return the newest version and the oldest preferred, regular and allowed versions
   */
  public WeightsRequirement requirement(String model, long nowNanos) {
    List<TargetVersion> targets = versionsByModel.get(model);
    if (targets == null) {
      return WeightsRequirement.NONE;
    }
    OptionalLong newest = OptionalLong.of(targets.getLast().version());
    if (logUnavailable) {
      return WeightsRequirement.unrestricted(newest);
    }
    OptionalLong minPreferred = OptionalLong.empty();
    OptionalLong minRegular = OptionalLong.empty();
    OptionalLong minAllowed = OptionalLong.empty();
    for (TargetVersion target : targets) {
      if (nowNanos - target.preferredFromNanos() >= 0) {
        minPreferred = OptionalLong.of(target.version());
      }
      if (nowNanos - target.fallbackOnlyFromNanos() >= 0) {
        minRegular = OptionalLong.of(target.version());
      }
      if (nowNanos - target.mandatoryFromNanos() >= 0) {
        minAllowed = OptionalLong.of(target.version());
      }
    }
    while (minAllowed.isPresent() && targets.getFirst().version() < minAllowed.getAsLong()) {
      targets.removeFirst();
    }
    return new WeightsRequirement(newest, minPreferred, minRegular, minAllowed);
  }

  /**
   * Returns the newest version of a model that this instance has read.
   *
   * @param model name of the model
   * @return the version, if one was published
   */
  public OptionalLong newestVersion(String model) {
    Long read = readVersions.get(model);
    return read == null ? OptionalLong.empty() : OptionalLong.of(read);
  }

  /**
   * Returns the newest versions of all models that this instance has read.
   *
   * @return read-only view of the newest versions by model
   */
  public Map<String, Long> newestVersions() {
    return Collections.unmodifiableMap(readVersions);
  }

  /**
   * Returns the age from which on the time until the newest version is mandatory counts.
   *
   * @param model name of the model
   * @param nowNanos current time
   * @return the age in nanoseconds; empty if no version was published
   */
  public OptionalLong maxAgeNanos(String model, long nowNanos) {
    List<TargetVersion> targets = versionsByModel.get(model);
    return targets == null
        ? OptionalLong.empty()
        : OptionalLong.of(nowNanos + mandatoryDelayNanos - targets.getLast().mandatoryFromNanos());
  }

  /**
   * Returns the time from which a server is used only as a fallback because of its old weights.
   *
   * @param model name of the model
   * @param loadedVersion version that the server has
   * @return the time; empty if the version is the newest
   */
  public OptionalLong replacedFromNanos(String model, long loadedVersion) {
    return versionsByModel.getOrDefault(model, List.of()).stream()
        .filter(target -> target.version() > loadedVersion)
        .mapToLong(TargetVersion::fallbackOnlyFromNanos)
        .min();
  }

  private TargetVersion targetVersion(long version, long publishedNanos) {
    return new TargetVersion(
        version,
        publishedNanos + PREFERENCE_DELAY_NANOS,
        fallbackOnlyFrom(publishedNanos),
        publishedNanos + mandatoryDelayNanos);
  }

  private long fallbackOnlyFrom(long nowNanos) {
    return nowNanos + (long) (mandatoryDelayNanos * FALLBACK_ONLY_SHARE);
  }
}
