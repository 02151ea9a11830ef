package org.pollenrock.standin.engine;

import io.netty.channel.EventLoop;

/**
 * Weights of one engine and the fencing number it has seen; confined to the engine's event loop.
 */
final class EngineWeights {
  private final EngineSettings settings;
  private final WeightLoader loader;
  private volatile String version;
  private boolean loading;
  private long highestFence;
  private long loadNumber;

  EngineWeights(EngineSettings settings, WeightLoader loader) {
    this.settings = settings;
    this.loader = loader;
    this.version = settings.version();
  }

  String version() {
    return version;
  }

  boolean loading() {
    return loading;
  }

  boolean acceptFence(long fence) {
    if (settings.checksFencing() && fence < highestFence) {
      return false;
    }
    highestFence = Math.max(highestFence, fence);
    return true;
  }

  void load(String wanted, EventLoop loop) {
    loading = true;
    loadNumber++;
    long number = loadNumber;
    loader
        .load(settings.model(), wanted)
        .thenAccept(loaded -> loop.execute(() -> finish(number, wanted, loaded)));
  }

  void reset() {
    loading = false;
    loadNumber++;
  }

  private void finish(long number, String wanted, boolean loaded) {
    if (number != loadNumber) {
      return;
    }
    loading = false;
    if (loaded) {
      version = wanted;
    }
  }
}
