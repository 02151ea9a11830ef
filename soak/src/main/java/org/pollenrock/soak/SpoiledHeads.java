package org.pollenrock.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Lets servers, one after the other, write the begin of a response before each whole one. */
final class SpoiledHeads {
  private static final long MIN_MILLIS = 500;
  private static final long MAX_MILLIS = 2_000;

  private final List<SoakServer> servers;
  private final Consumer<String> story;

  /**
   * Creates the fault.
   *
   * @param servers the servers
   * @param story receives what happens
   */
  SpoiledHeads(List<SoakServer> servers, Consumer<String> story) {
    this.servers = servers;
    this.story = story;
  }

  /** Spoils responses until a time of the monotonic clock. */
  void play(SplittableRandom random, long endNanos) {
    try {
      while (System.nanoTime() - endNanos < 0) {
        SoakServer server = servers.get(random.nextInt(servers.size()));
        long millis = random.nextLong(MIN_MILLIS, MAX_MILLIS);
        story.accept("heads begin twice at " + server.name() + " for " + millis + " ms");
        server.spoilsHeads(true);
        TimeUnit.MILLISECONDS.sleep(millis);
        server.spoilsHeads(false);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
