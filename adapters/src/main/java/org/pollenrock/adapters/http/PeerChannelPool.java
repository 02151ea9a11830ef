package org.pollenrock.adapters.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.asynchttpclient.channel.ChannelPool;

/**
 * Idle connections by peer, most recently used first.
 *
 * <p>A poll names the longest idle time it accepts, so that a non-idempotent call never goes out on
 * a connection that may have silently stopped delivering data.
 */
final class PeerChannelPool implements ChannelPool {
  private final LongSupplier nanoClock;
  private final long idleLimitNanos;
  private final Map<HostPort, Deque<Idle>> idleByPeer = new ConcurrentHashMap<>();
  private volatile boolean open = true;

  PeerChannelPool(LongSupplier nanoClock, Duration idleLimit) {
    this.nanoClock = nanoClock;
    this.idleLimitNanos = idleLimit.toNanos();
  }

  @Override
  public boolean offer(Channel channel, Object partitionKey) {
    PoolKey key = (PoolKey) partitionKey;
    if (!open || key.use().isFresh() || !channel.isActive()) {
      return false;
    }
    Deque<Idle> idle = idleByPeer.computeIfAbsent(key.peer(), peer -> new ArrayDeque<>());
    long now = nanoClock.getAsLong();
    List<Channel> expired;
    synchronized (idle) {
      idle.addFirst(new Idle(channel, now));
      expired = removeExpired(idle, now);
    }
    expired.forEach(Channel::close);
    return true;
  }

  @Override
  public Channel poll(Object partitionKey) {
    PoolKey key = (PoolKey) partitionKey;
    Deque<Idle> idle = idleByPeer.get(key.peer());
    if (idle == null || key.use().isFresh()) {
      return null;
    }
    long limit = Math.min(key.use().maxIdle().toNanos(), idleLimitNanos);
    long now = nanoClock.getAsLong();
    synchronized (idle) {
      while (!idle.isEmpty() && now - idle.peekFirst().sinceNanos() <= limit) {
        Channel channel = idle.pollFirst().channel();
        if (channel.isActive()) {
          return channel;
        }
      }
    }
    return null;
  }

  @Override
  public boolean removeAll(Channel channel) {
    boolean removed = false;
    for (Deque<Idle> idle : idleByPeer.values()) {
      synchronized (idle) {
        removed |= idle.removeIf(entry -> entry.channel() == channel);
      }
    }
    return removed;
  }

  /** Closes every idle connection to a peer and returns how many there were. */
  int closeIdle(HostPort peer) {
    Deque<Idle> idle = idleByPeer.remove(peer);
    if (idle == null) {
      return 0;
    }
    List<Idle> closing;
    synchronized (idle) {
      closing = new ArrayList<>(idle);
      idle.clear();
    }
    closing.forEach(entry -> entry.channel().close());
    return closing.size();
  }

  @Override
  public boolean isOpen() {
    return open;
  }

  @Override
  public void destroy() {
    open = false;
    List.copyOf(idleByPeer.keySet()).forEach(this::closeIdle);
  }

  @Override
  public void flushPartitions(Predicate<Object> predicate) {
    for (HostPort peer : List.copyOf(idleByPeer.keySet())) {
      if (predicate.test(new PoolKey(peer, ConnectionUse.ANY))) {
        closeIdle(peer);
      }
    }
  }

  @Override
  public Map<String, Long> getIdleChannelCountPerHost() {
    Map<String, Long> counts = new HashMap<>();
    idleByPeer.forEach(
        (peer, idle) -> {
          synchronized (idle) {
            counts.put(peer.toString(), (long) idle.size());
          }
        });
    return counts;
  }

  private List<Channel> removeExpired(Deque<Idle> idle, long now) {
    List<Channel> expired = new ArrayList<>();
    while (now - idle.peekLast().sinceNanos() > idleLimitNanos) {
      expired.add(idle.pollLast().channel());
    }
    return expired;
  }

  private record Idle(Channel channel, long sinceNanos) {}

  /** Partition of the pool together with the rule of one exchange. */
  record PoolKey(HostPort peer, ConnectionUse use) {}
}
