package org.pollenrock.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pollenrock.standin.platform.KeyedStoreStandin;

/**
 * Lets the store come back from older copies: what was written since a copy is lost, and the
 * operator and the servers write again what they wrote.
 */
final class StoreReturns {
  private static final long MIN_PAUSE_MILLIS = 1_500;
  private static final long MAX_PAUSE_MILLIS = 4_000;
  private static final long MAX_LOST_MILLIS = 3_000;
  private static final long MAX_AWAY_MILLIS = 1_500;

  /** Time after which the store drops entries of servers that do not write any more. */
  private static final long LAPSE_MILLIS = 1_000;

  private final KeyedStoreStandin store;
  private final List<SoakServer> servers;
  private final Runnable change;
  private final Runnable writeAgain;
  private final Consumer<String> story;

  /**
   * Creates the returns of a store.
   *
   * @param store the store
   * @param servers servers that write again
   * @param change lets the operator write something that is lost
   * @param writeAgain lets the operator write again what it wrote
   * @param story receives what happens
   */
  StoreReturns(
      KeyedStoreStandin store,
      List<SoakServer> servers,
      Runnable change,
      Runnable writeAgain,
      Consumer<String> story) {
    this.store = store;
    this.servers = servers;
    this.change = change;
    this.writeAgain = writeAgain;
    this.story = story;
  }

  /** Plays returns until a time of the monotonic clock. */
  void play(SplittableRandom random, long endNanos) {
    try {
      while (System.nanoTime() - endNanos < 0) {
        TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
        KeyedStoreStandin.Copy copy = store.copy();
        long lostMillis = random.nextLong(1, MAX_LOST_MILLIS);
        TimeUnit.MILLISECONDS.sleep(lostMillis);
        change.run();
        TimeUnit.MILLISECONDS.sleep(random.nextLong(1, MAX_LOST_MILLIS / 3));
        long awayMillis = random.nextLong(1, MAX_AWAY_MILLIS);
        story.accept("store returns " + lostMillis + " ms older after " + awayMillis + " ms");
        store.down(true);
        TimeUnit.MILLISECONDS.sleep(awayMillis);
        store.restore(copy);
        writeAgain.run();
        servers.forEach(SoakServer::writeAgain);
        store.down(false);
        TimeUnit.MILLISECONDS.sleep(LAPSE_MILLIS);
        servers.forEach(SoakServer::unlistEnded);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
