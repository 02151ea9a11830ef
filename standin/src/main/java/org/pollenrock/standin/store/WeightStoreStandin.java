package org.pollenrock.standin.store;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/** Weight store whose loads take longer when more than a few run at once. */
public final class WeightStoreStandin {
  private static final String PREFIX = "/weights/";

  private final EventLoop loop;
  private final Duration loadTime;
  private final int unslowedLoads;
  private final StandinHttpServer server;
  private int running;
  private int mostAtOnce;
  private int failures;

  /**
   * Makes a store; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param loadTime time of one load
   * @param unslowedLoads loads at once that do not slow each other
   */
  public WeightStoreStandin(EventLoopGroup group, Duration loadTime, int unslowedLoads) {
    this.loop = group.next();
    this.loadTime = loadTime;
    this.unslowedLoads = unslowedLoads;
    this.server =
        new StandinHttpServer(
            group, (request, exchange) -> loop.execute(() -> handle(request, exchange)));
  }

  /** Begins to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  /**
   * Address of the store.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  /**
   * Largest number of loads that ran at once.
   *
   * @return the count since the start
   */
  public int mostAtOnce() {
    return loop.submit(() -> mostAtOnce).syncUninterruptibly().getNow();
  }

  /**
   * Makes the next loads fail.
   *
   * @param count number of loads
   */
  public void failLoads(int count) {
    loop.execute(() -> failures += count);
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    if (!request.path().startsWith(PREFIX)) {
      exchange.respondJson(404, "{}");
      return;
    }
    if (failures > 0) {
      failures--;
      exchange.respondJson(500, "{}");
      return;
    }
    running++;
    mostAtOnce = Math.max(mostAtOnce, running);
    double slowdown = Math.max(1.0, (double) running / unslowedLoads);
    long nanos = Math.round(loadTime.toNanos() * slowdown);
    loop.schedule(() -> finish(exchange), nanos, TimeUnit.NANOSECONDS);
  }

  private void finish(StandinExchange exchange) {
    running--;
    exchange.respondJson(200, "{}");
  }
}
