package org.pollenrock.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.weights.RolloutNews;
import org.pollenrock.core.weights.WeightsTargets;
import org.pollenrock.protocol.generated.EngineLoading;
import org.pollenrock.protocol.generated.EngineWeights;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.TargetWeights;

/**
 * Tells all other instances which engines load weights or have loaded them, and the versions that
 * are rolled out. Only the instance that rolls them out sends this news, also to instances that
 * cannot read the store.
 */
final class RolloutGossip implements NewsPart {
  /** Interval at which the news of a rollout is repeated in a small fleet. */
  private static final long MIN_INTERVAL_NANOS = 250_000_000L;

  /**
   * Interval for each instance that receives the news. A rollout thus sends at most 250 datagrams a
   * second, independent of the number of instances, besides those about further engines.
   */
  private static final long INTERVAL_NANOS_PER_INSTANCE = 4_000_000L;

  /** Maximum number of engines in a datagram, so that it fits into a packet of usual size. */
  private static final int MAX_ENGINES = 40;

  /**
   * Time that a datagram may take, which counts towards the age of a version. A version must not be
   * dated later than it was published.
   */
  private static final long MAX_TRANSIT_NANOS = 500_000_000L;

  private final Gateway gateway;
  private final EventLog log;

  RolloutGossip(Gateway gateway, EventLog log) {
    this.gateway = gateway;
    this.log = log;
  }

  /** Starts to apply the news of other instances. */
  void start() {
    gateway.gossip().addPart(this);
  }

  /** Returns the interval at which the news of a rollout is repeated. */
  long intervalNanos() {
    return Math.max(
        MIN_INTERVAL_NANOS, gateway.dispatcher().instanceCount() * INTERVAL_NANOS_PER_INSTANCE);
  }

  /** Sends news of a rollout to all other instances. */
  void announce(RolloutNews news, long nowNanos) {
    List<EngineLoading> loading = new ArrayList<>();
    for (RolloutNews.Loading engine : news.loading()) {
      loading.add(
          EngineLoading.newBuilder()
              .setServer(engine.backend().idHash())
              .setRemainingMs((int) TimeUnit.NANOSECONDS.toMillis(engine.remainingNanos()))
              .build());
    }
    List<EngineWeights> weights = new ArrayList<>();
    for (RolloutNews.Loaded engine : news.loaded()) {
      weights.add(
          EngineWeights.newBuilder()
              .setServer(engine.backend().idHash())
              .setModel(engine.model())
              .setVersion(engine.version())
              .build());
    }
    List<TargetWeights> targets = targets(nowNanos);
    int count = Math.max(loading.size(), weights.size());
    for (int from = 0; from < count; from += MAX_ENGINES) {
      gateway
          .gossip()
          .sendToAll(
              FleetNews.newBuilder()
                  .addAllLoading(slice(loading, from))
                  .addAllWeights(slice(weights, from))
                  .addAllTargetWeights(targets));
    }
  }

  @Override
  public void addNews(FleetNews.Builder message, long nowNanos) {
    // The news concerns all instances, also those without full gossip, and is sent by announce.
  }

  @Override
  public void apply(FleetNews message, InstanceId sender, long nowNanos) {
    for (EngineWeights weights : message.getWeightsList()) {
      gateway
          .fleet()
          .findByIdHash(weights.getServer())
          .ifPresent(backend -> applyLoaded(backend, weights, nowNanos));
    }
    // An engine with new weights that loads even newer ones stays paused.
    for (EngineLoading loading : message.getLoadingList()) {
      gateway
          .fleet()
          .findByIdHash(loading.getServer())
          .ifPresent(backend -> applyLoading(backend, loading.getRemainingMs(), nowNanos));
    }
    if (message.getTargetWeightsCount() > 0) {
      applyTargets(message.getTargetWeightsList(), nowNanos);
    }
  }

  private static void applyLoaded(Backend backend, EngineWeights weights, long nowNanos) {
    backend.recordWeightsVersion(weights.getModel(), weights.getVersion(), nowNanos);
    if (backend.weightsVersion(weights.getModel()).orElse(0) == weights.getVersion()) {
      // An earlier announcement of the load may have arrived later.
      backend.loadingPause().end();
    }
  }

  private static void applyLoading(Backend backend, int remainingMillis, long nowNanos) {
    if (remainingMillis > 0) {
      backend.loadingPause().begin(TimeUnit.MILLISECONDS.toNanos(remainingMillis), nowNanos);
    } else {
      backend.loadingPause().begin(nowNanos);
    }
  }

  private void applyTargets(List<TargetWeights> targets, long nowNanos) {
    // A datagram that arrived while the process was paused is older than it seems.
    LoopClock clock = gateway.loopClock();
    long delayNanos = MAX_TRANSIT_NANOS + clock.elapsedNanos() - clock.inputProcessedNanos();
    for (TargetWeights target : targets) {
      long ageNanos =
          TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(target.getMaxAgeMs())) + delayNanos;
      if (gateway
          .weightsTargets()
          .applyPeerVersion(target.getModel(), target.getVersion(), ageNanos, nowNanos)) {
        log.line("weights_named")
            .with("model", target.getModel())
            .with("version", target.getVersion())
            .with("outcome", "newest")
            .with("source", "peer")
            .with("max_age_ms", TimeUnit.NANOSECONDS.toMillis(ageNanos))
            .write();
      }
    }
  }

  private List<TargetWeights> targets(long nowNanos) {
    WeightsTargets targets = gateway.weightsTargets();
    List<TargetWeights> messages = new ArrayList<>();
    targets
        .newestVersions()
        .forEach(
            (model, version) ->
                messages.add(
                    TargetWeights.newBuilder()
                        .setModel(model)
                        .setVersion(version)
                        .setMaxAgeMs(
                            (int) (targets.maxAgeNanos(model, nowNanos).orElseThrow() / 1_000_000))
                        .build()));
    return messages;
  }

  private static <T> List<T> slice(List<T> messages, int from) {
    return from >= messages.size()
        ? List.of()
        : messages.subList(from, Math.min(messages.size(), from + MAX_ENGINES));
  }
}
