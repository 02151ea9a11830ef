package org.pollenrock.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/** Records which servers are known to have cached which shared prefixes of prompts. */
public final class PrefixDirectory {
  /** Maximum number of recorded prefixes; beyond it, the least recently used one is evicted. */
  public static final int MAX_PREFIXES = 16_384;

  /** Maximum number of servers recorded per prefix; the most recently added come first. */
  private static final int MAX_HOLDERS = 4;

  /**
   * Minimum interval between two announcements of the same prefix and server to other instances.
   */
  private static final long ANNOUNCE_INTERVAL_NANOS = 3_000_000_000L;

  /** Server that has read a prefix. */
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

  private final Map<Long, Deque<Holder>> holdersByPrefix =
      new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Deque<Holder>> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  /** Creates an empty directory. */
  public PrefixDirectory() {}

  /**
   * Returns the hash that identifies a prefix in the caches of engines.
   *
   * @param prefix hash of the model and the parts of the prefix
   * @param cacheScope cache scope, which identifies the customers that share cache entries
   * @param weights version of the weights with which the prefix was read
   * @return the hash
   */
  public static long key(long prefix, String cacheScope, long weights) {
    return RendezvousHash.mix(
        prefix ^ RendezvousHash.hash(cacheScope) ^ RendezvousHash.mix(weights));
  }

  /**
   * Records that a server has read a prefix.
   *
   * @param key hash of the prefix
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
   * @param key hash of the prefix
   * @param backend the server
   * @param nowNanos current time
   */
  public void recordPeerRead(long key, Backend backend, long nowNanos) {
    Holder holder = findOrAddHolder(key, backend, nowNanos);
    holder.lastReadNanos = nowNanos;
    holder.lastAnnouncedNanos = nowNanos;
  }

  /**
   * Returns the servers that are assumed to have cached a prefix.
   *
   * @param key hash of the prefix
   * @param maxAgeNanos maximum age of a read after which the server is still assumed to have cached
   *     it
   * @param nowNanos current time
   * @return the servers
   */
  public List<Backend> holders(long key, long maxAgeNanos, long nowNanos) {
    Deque<Holder> prefixHolders = holdersByPrefix.get(key);
    if (prefixHolders == null) {
      return List.of();
    }
    return prefixHolders.stream()
        .filter(holder -> nowNanos - holder.lastReadNanos <= maxAgeNanos)
        .map(holder -> holder.backend)
        .toList();
  }

  /**
   * Returns the number of recorded prefixes.
   *
   * @return the number of prefixes
   */
  public int size() {
    return holdersByPrefix.size();
  }

  private Holder findOrAddHolder(long key, Backend backend, long nowNanos) {
    Deque<Holder> prefixHolders =
        holdersByPrefix.computeIfAbsent(key, added -> new ArrayDeque<>(MAX_HOLDERS));
    for (Holder holder : prefixHolders) {
      if (holder.backend == backend) {
        return holder;
      }
    }
    Holder added = new Holder(backend, nowNanos);
    prefixHolders.addFirst(added);
    if (prefixHolders.size() > MAX_HOLDERS) {
      prefixHolders.removeLast();
    }
    return added;
  }
}
