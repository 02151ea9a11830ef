package org.pollenrock.standin.engine;

import java.util.concurrent.CompletionStage;

/** Fetches weights for an engine. */
@FunctionalInterface
public interface WeightLoader {
  /**
   * Fetches the weights of a model.
   *
   * @param model the model
   * @param version the version
   * @return completed with true when the weights are there, with false when the load failed
   */
  CompletionStage<Boolean> load(String model, String version);
}
