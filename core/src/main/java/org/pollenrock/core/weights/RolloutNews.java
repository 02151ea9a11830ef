package org.pollenrock.core.weights;

import java.util.List;
import org.pollenrock.core.fleet.Backend;

/**
 * What the other instances have to know of a rollout.
 *
 * @param loading engines that load weights or are about to
 * @param loaded engines that have loaded weights
 */
public record RolloutNews(List<Loading> loading, List<Loaded> loaded) {
  /** Copies the lists. */
  public RolloutNews {
    loading = List.copyOf(loading);
    loaded = List.copyOf(loaded);
  }

  /**
   * An engine that loads weights or is about to.
   *
   * @param backend the engine
   * @param remainingNanos time for which it should get no requests if nothing else is heard
   */
  public record Loading(Backend backend, long remainingNanos) {}

  /**
   * An engine that has loaded weights.
   *
   * @param backend the engine
   * @param model the model
   * @param version version of its weights
   */
  public record Loaded(Backend backend, String model, long version) {}

  /**
   * Returns whether there is nothing to tell.
   *
   * @return whether both lists are empty
   */
  public boolean isEmpty() {
    return loading.isEmpty() && loaded.isEmpty();
  }
}
