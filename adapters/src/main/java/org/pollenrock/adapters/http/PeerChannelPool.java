package org.pollenrock.adapters.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import io.netty.util.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.asynchttpclient.channel.ChannelPool;
import org.asynchttpclient.netty.channel.DefaultChannelPool;

/**
 * Idle connections by peer, most recently used first.
 *
 * <p>A poll names the longest idle time it accepts, so that a non-idempotent call never goes out on
 * a connection that may have silently stopped delivering data. An older connection found by such a
 * poll is closed.
 */
final class PeerChannelPool implements ChannelPool {
  private static final AttributeKey<Long> IDLE_SINCE =
      AttributeKey.valueOf(PeerChannelPool.class, "idleSince");
  private static final Duration NO_TIME_TO_LIVE = Duration.ofMillis(-1);

  private final LongSupplier nanoClock;
  private final ChannelPool pool;

  PeerChannelPool(LongSupplier nanoClock, Timer timer, Duration idleLimit, Duration cleanerPeriod) {
    this.nanoClock = nanoClock;
    this.pool =
        new DefaultChannelPool(
            idleLimit,
            NO_TIME_TO_LIVE,
            DefaultChannelPool.PoolLeaseStrategy.LIFO,
            timer,
            cleanerPeriod);
  }

  @Override
  public boolean offer(Channel channel, Object partitionKey) {
    PoolKey key = (PoolKey) partitionKey;
    if (key.use().isFresh() || !ResponseGuard.isReusable(channel)) {
      return false;
    }
    channel.attr(IDLE_SINCE).set(nanoClock.getAsLong());
    return pool.offer(channel, key.peer());
  }

  @Override
  public Channel poll(Object partitionKey) {
    PoolKey key = (PoolKey) partitionKey;
    if (key.use().isFresh()) {
      return null;
    }
    Channel channel = pool.poll(key.peer());
    if (channel == null) {
      return null;
    }
    long idleNanos = nanoClock.getAsLong() - channel.attr(IDLE_SINCE).get();
    if (idleNanos <= key.use().maxIdle().toNanos()) {
      return channel;
    }
    channel.close();
    return null;
  }

  @Override
  public boolean removeAll(Channel channel) {
    return pool.removeAll(channel);
  }

  @Override
  public boolean isOpen() {
    return pool.isOpen();
  }

  @Override
  public void destroy() {
    pool.destroy();
  }

  @Override
  public void flushPartitions(Predicate<Object> predicate) {
    pool.flushPartitions(predicate);
  }

  @Override
  public Map<String, Long> getIdleChannelCountPerHost() {
    return pool.getIdleChannelCountPerHost();
  }

  /** Closes every idle connection to a peer. */
  void closeIdle(HostPort peer) {
    flushPartitions(peer::equals);
  }

  /** Partition of the pool together with the rule of one exchange. */
  record PoolKey(HostPort peer, ConnectionUse use) {}
}
