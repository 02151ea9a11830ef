package org.pollenrock.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/** Which servers are known to keep which shared prefixes of prompts. */
public final class PrefixDirectory {
  /** Prefixes that are remembered; the least recently used one yields. */
  public static final int MAX_PREFIXES = 16_384;

  /** Servers that are remembered of one prefix, the latest first. */
  private static final int MAX_HOLDERS = 4;

  /** Age at which the knowledge of a read is told to other instances again. */
  private static final long ANNOUNCE_INTERVAL_NANOS = 3_000_000_000L;

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

  private final Map<Long, Deque<Holder>> holders =
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
   * Hash of a prefix as caches tell it apart.
   *
   * @param prefix hash of the model and the parts
   * @param cacheScope customers that share it
   * @param weights version of the weights that read it
   * @return the hash
   */
  public static long key(long prefix, String cacheScope, long weights) {
    return RendezvousHash.mix(
        prefix ^ RendezvousHash.hash(cacheScope) ^ RendezvousHash.mix(weights));
  }

  /**
   * A server has read a prefix.
   *
   * @param key hash of the prefix
   * @param backend the server
   * @param nowNanos current time
   * @return whether other instances should be told; they count as told from now on
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
   * Another instance told of a read.
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
   * Servers that are taken to keep a prefix.
   *
   * @param key hash of the prefix
   * @param maxAgeNanos age of a read up to which the server is taken to keep it
   * @param nowNanos current time
   * @return the servers
   */
  public List<Backend> holders(long key, long maxAgeNanos, long nowNanos) {
    Deque<Holder> known = holders.get(key);
    if (known == null) {
      return List.of();
    }
    return known.stream()
        .filter(holder -> nowNanos - holder.lastReadNanos <= maxAgeNanos)
        .map(holder -> holder.backend)
        .toList();
  }

  /**
   * Prefixes that are remembered.
   *
   * @return the number
   */
  public int size() {
    return holders.size();
  }

  private Holder findOrAddHolder(long key, Backend backend, long nowNanos) {
    Deque<Holder> known = holders.computeIfAbsent(key, added -> new ArrayDeque<>(MAX_HOLDERS));
    for (Holder holder : known) {
      if (holder.backend == backend) {
        return holder;
      }
    }
    Holder added = new Holder(backend, nowNanos);
    known.addFirst(added);
    if (known.size() > MAX_HOLDERS) {
      known.removeLast();
    }
    return added;
  }
}
