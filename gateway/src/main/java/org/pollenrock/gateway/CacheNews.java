package org.pollenrock.gateway;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.membership.CachePosition;
import org.pollenrock.core.membership.FollowReports;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.protocol.generated.FleetNews;

/**
 * What instances of a data centre tell each other about the cache events that they follow: how far
 * each one has read, so that another one can go on there, and what the prefix store has stored and
 * evicted, so that only one of them has to ask it.
 */
public final class CacheNews implements NewsPart {
  /** Interval at which followed servers and positions are announced. */
  private static final long ANNOUNCE_INTERVAL_NANOS = 1_000_000_000L;

  /** Maximum number of parts in one message, so that a datagram fits into a usual packet. */
  private static final int MAX_PARTS = 60;

  /** Maximum number of parts that wait to be announced; others are learned by misses. */
  private static final int MAX_WAITING_PARTS = 4_096;

  private final PrefixStoreView prefixStore;
  private final FollowReports reports = new FollowReports();
  private final Set<Long> stored = new HashSet<>();
  private final Set<Long> evicted = new HashSet<>();
  private Map<Long, CachePosition> positions = Map.of();
  private Map<Long, CachePosition> ownStorePosition = Map.of();
  private List<Backend> followedServers = List.of();
  private long announcedNanos = System.nanoTime();
  private long announcedToAllNanos = System.nanoTime();

  CacheNews(PrefixStoreView prefixStore) {
    this.prefixStore = prefixStore;
  }

  /**
   * Returns which instances follow which servers.
   *
   * @return the reports of the other instances
   */
  public FollowReports reports() {
    return reports;
  }

  /** Sets the servers whose cache events this instance follows. */
  void setFollowedServers(List<Backend> servers) {
    followedServers = List.copyOf(servers);
  }

  /**
   * Sets how far this instance has read the events of the engines that it follows.
   *
   * @param newPositions the positions by hash of the engine
   */
  public void setEnginePositions(Map<Long, CachePosition> newPositions) {
    positions = Map.copyOf(newPositions);
  }

  /**
   * Sets how far this instance has read the events of the prefix store.
   *
   * @param newPosition the position by hash of the address; empty if it does not follow the store
   */
  public void setStorePosition(Map<Long, CachePosition> newPosition) {
    ownStorePosition = Map.copyOf(newPosition);
  }

  /**
   * Announces that the prefix store has stored a part.
   *
   * @param part hash of the part
   */
  public void announceStored(long part) {
    evicted.remove(part);
    addWaiting(stored, part);
  }

  /**
   * Announces that the prefix store has evicted a part.
   *
   * @param part hash of the part
   */
  public void announceEvicted(long part) {
    stored.remove(part);
    addWaiting(evicted, part);
  }

  private static void addWaiting(Set<Long> parts, long part) {
    if (parts.size() < MAX_WAITING_PARTS) {
      parts.add(part);
    }
  }

  /** Returns whether positions or parts are to be announced now. */
  boolean isDue(long nowNanos) {
    return !stored.isEmpty()
        || !evicted.isEmpty()
        || nowNanos - announcedNanos >= ANNOUNCE_INTERVAL_NANOS
            && !(positions.isEmpty() && ownStorePosition.isEmpty());
  }

  /** Returns whether the instances without full gossip have to be told what is followed. */
  boolean isDueToAll(long nowNanos, long minIntervalNanos) {
    return minIntervalNanos > 0
        && !followedServers.isEmpty()
        && nowNanos - announcedToAllNanos >= Math.max(minIntervalNanos, ANNOUNCE_INTERVAL_NANOS);
  }

  /** Adds what is due to a message to the instances without full gossip. */
  void addNewsToAll(FleetNews.Builder message, long nowNanos) {
    if (nowNanos - announcedToAllNanos >= ANNOUNCE_INTERVAL_NANOS) {
      announcedToAllNanos = nowNanos;
      followedServers.forEach(server -> message.addFollowed(server.idHash()));
    }
  }

  @Override
  public void addNews(FleetNews.Builder message, long nowNanos) {
    moveParts(stored, message::addStored);
    moveParts(evicted, message::addStoreEvicted);
    if (nowNanos - announcedNanos < ANNOUNCE_INTERVAL_NANOS) {
      return;
    }
    announcedNanos = nowNanos;
    followedServers.forEach(server -> message.addFollowed(server.idHash()));
    Map<Long, CachePosition> all = new LinkedHashMap<>(positions);
    all.putAll(ownStorePosition);
    all.forEach(
        (server, position) ->
            message.addCachePositions(
                org.pollenrock.protocol.generated.CachePosition.newBuilder()
                    .setServer(server)
                    .setIncarnation(position.incarnation())
                    .setNext(position.next())));
  }

  private static void moveParts(Set<Long> parts, LongConsumer message) {
    Iterator<Long> remaining = parts.iterator();
    for (int moved = 0; moved < MAX_PARTS && remaining.hasNext(); moved++) {
      message.accept(remaining.next());
      remaining.remove();
    }
  }

  @Override
  public void apply(FleetNews message, InstanceId sender, long nowNanos) {
    for (long server : message.getFollowedList()) {
      reports.recordReport(server, sender, nowNanos);
    }
    for (var position : message.getCachePositionsList()) {
      reports.recordPosition(
          position.getServer(),
          new CachePosition(position.getIncarnation(), position.getNext()),
          sender,
          nowNanos);
    }
    message.getStoreEvictedList().forEach(prefixStore::markDropped);
  }
}
