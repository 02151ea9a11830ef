package org.pollenrock.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Records which servers are known to have cached which shared parts of prompts.
 *
 * <p>Reads are recorded from the responses of this instance and from announcements of others. If an
 * instance follows the cache events of a server, evictions are recorded as well, and a recorded
 * part counts as cached until its eviction. Otherwise it counts as cached for a limited time.
 */
public final class PrefixDirectory {
  /** Maximum number of recorded parts; beyond it, the least recently used one is evicted. */
  public static final int MAX_PARTS = 16_384;

  /** Maximum number of servers recorded per part; the most recently added come first. */
  private static final int MAX_HOLDERS = 64;

  /** Minimum interval between two announcements of the same part and server to other instances. */
  private static final long ANNOUNCE_INTERVAL_NANOS = 3_000_000_000L;

  /**
   * Time for which a server under load is assumed to keep a part cached after reading it, if nobody
   * follows its cache events.
   */
  private static final long CACHED_NANOS = 5_000_000_000L;

  /** Time after which an engine under load has certainly evicted a part that it read. */
  private static final long MAYBE_CACHED_NANOS = 15_000_000_000L;

  /**
   * Time after the last read for which a part on a server with followed cache events counts as
   * cached. Eviction events can be lost, so that an old record may be wrong.
   */
  private static final long FOLLOWED_CACHED_NANOS = 30_000_000_000L;

  /** Time for which a report that the cache events of a server are followed is valid. */
  private static final long REPORT_VALID_NANOS = 3_000_000_000L;

  /** Server that has read a part. */
  private static final class Holder {
    private final Backend backend;
    private long lastReadNanos;
    private long lastAnnouncedNanos;

    private Holder(Backend backend, long readNanos) {
      this.backend = backend;
      this.lastReadNanos = readNanos;
      this.lastAnnouncedNanos = readNanos - ANNOUNCE_INTERVAL_NANOS;
    }
  }

  private final Map<Long, Deque<Holder>> holdersByPart =
      new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Deque<Holder>> eldest) {
          return size() > MAX_PARTS;
        }
      };

  private final Map<Backend, Long> followedNanos = new HashMap<>();

  /** Creates an empty directory. */
  public PrefixDirectory() {}

  /**
   * Returns the hash that identifies a part of a prompt in the caches of engines and in the prefix
   * store.
   *
   * @param salt cache salt, which identifies the customers that share cache entries and the version
   *     of the weights
   * @param partId identity of the part
   * @return the hash
   */
  public static long key(String salt, String partId) {
    return RendezvousHash.mix(RendezvousHash.hash(salt) ^ RendezvousHash.hash(partId));
  }

  /**
   * Records that a server has read a part.
   *
   * @param key hash of the part
   * @param backend the server
   * @param nowNanos current time
   * @return whether the read should be announced to other instances; it then counts as announced
   */
  public boolean recordRead(long key, Backend backend, long nowNanos) {
    Holder holder = findOrAddHolder(key, backend, nowNanos);
    holder.lastReadNanos = nowNanos;
    if (nowNanos - holder.lastAnnouncedNanos < ANNOUNCE_INTERVAL_NANOS) {
      return false;
    }
    holder.lastAnnouncedNanos = nowNanos;
    return true;
  }

  /**
   * Records a read that another instance announced.
   *
   * @param key hash of the part
   * @param backend the server
   * @param nowNanos current time
   */
  public void recordPeerRead(long key, Backend backend, long nowNanos) {
    Holder holder = findOrAddHolder(key, backend, nowNanos);
    holder.lastReadNanos = nowNanos;
    holder.lastAnnouncedNanos = nowNanos;
  }

  /**
   * Records that a server has stored a part, according to its cache events. Parts that no recorded
   * prompt shares are ignored, since most of them belong to a single request.
   *
   * @param key hash of the part
   * @param backend the server
   * @param nowNanos current time
   * @return whether it should be announced to other instances; it then counts as announced
   */
  public boolean recordStored(long key, Backend backend, long nowNanos) {
    return holdersByPart.containsKey(key) && recordRead(key, backend, nowNanos);
  }

  /**
   * Records that a server has evicted a part.
   *
   * @param key hash of the part
   * @param backend the server
   * @return whether the server was recorded as holding the part
   */
  public boolean recordEviction(long key, Backend backend) {
    Deque<Holder> holders = holdersByPart.get(key);
    if (holders == null) {
      return false;
    }
    boolean removed = holders.removeIf(holder -> holder.backend == backend);
    if (holders.isEmpty()) {
      holdersByPart.remove(key);
    }
    return removed;
  }

  /**
   * Records that the contents of a server's cache are unknown, because events were missed or the
   * server restarted.
   *
   * @param backend the server
   */
  public void forget(Backend backend) {
    Iterator<Deque<Holder>> parts = holdersByPart.values().iterator();
    while (parts.hasNext()) {
      Deque<Holder> holders = parts.next();
      holders.removeIf(holder -> holder.backend == backend);
      if (holders.isEmpty()) {
        parts.remove();
      }
    }
  }

  /**
   * Records that this instance or another one follows the cache events of a server and announces
   * evictions.
   *
   * @param backend the server
   * @param nowNanos current time
   */
  public void recordFollowed(Backend backend, long nowNanos) {
    followedNanos.values().removeIf(reported -> nowNanos - reported > REPORT_VALID_NANOS);
    followedNanos.put(backend, nowNanos);
  }

  /**
   * Returns whether an instance follows the cache events of a server, so that evictions are known.
   *
   * @param backend the server
   * @param nowNanos current time
   * @return whether the events are followed
   */
  public boolean isFollowed(Backend backend, long nowNanos) {
    Long reportedNanos = followedNanos.get(backend);
    return reportedNanos != null && nowNanos - reportedNanos <= REPORT_VALID_NANOS;
  }

  /**
   * Returns the servers that are assumed to have cached a part.
   *
   * @param key hash of the part
   * @param nowNanos current time
   * @return the servers
   */
  public List<Backend> holders(long key, long nowNanos) {
    Deque<Holder> partHolders = holdersByPart.get(key);
    if (partHolders == null) {
      return List.of();
    }
    List<Backend> servers = new ArrayList<>(partHolders.size());
    for (Holder holder : partHolders) {
      if (isCached(holder, nowNanos)) {
        servers.add(holder.backend);
      }
    }
    return servers;
  }

  /**
   * Returns the servers that read a part some time ago and may still have cached it, although
   * nobody knows.
   *
   * @param key hash of the part
   * @param nowNanos current time
   * @return the servers
   */
  public List<Backend> possibleHolders(long key, long nowNanos) {
    Deque<Holder> partHolders = holdersByPart.get(key);
    if (partHolders == null) {
      return List.of();
    }
    return partHolders.stream()
        .filter(holder -> isMaybeCached(holder, nowNanos))
        .map(holder -> holder.backend)
        .toList();
  }

  /**
   * Returns the number of recorded parts.
   *
   * @return the number of parts
   */
  public int size() {
    return holdersByPart.size();
  }

  private boolean isCached(Holder holder, long nowNanos) {
    long maxAgeNanos = isFollowed(holder.backend, nowNanos) ? FOLLOWED_CACHED_NANOS : CACHED_NANOS;
    return nowNanos - holder.lastReadNanos <= maxAgeNanos;
  }

  private boolean isMaybeCached(Holder holder, long nowNanos) {
    return !isFollowed(holder.backend, nowNanos)
        && nowNanos - holder.lastReadNanos <= MAYBE_CACHED_NANOS;
  }

  private Holder findOrAddHolder(long key, Backend backend, long nowNanos) {
    Deque<Holder> partHolders = holdersByPart.computeIfAbsent(key, added -> new ArrayDeque<>(4));
    for (Holder holder : partHolders) {
      if (holder.backend == backend) {
        return holder;
      }
    }
    Holder added = new Holder(backend, nowNanos);
    partHolders.addFirst(added);
    if (partHolders.size() > MAX_HOLDERS) {
      partHolders.removeLast();
    }
    return added;
  }
}
