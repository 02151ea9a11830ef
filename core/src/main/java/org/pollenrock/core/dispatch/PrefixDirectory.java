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
  private static final long RETELL_NANOS = 3_000_000_000L;

  private static final class Holder {
    private final Backend backend;
    private long readNanos;
    private long toldNanos;

    private Holder(Backend backend, long readNanos) {
      this.backend = backend;
      this.readNanos = readNanos;
      this.toldNanos = readNanos - RETELL_NANOS;
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
    Holder holder = holder(key, backend, nowNanos);
    holder.readNanos = nowNanos;
    if (nowNanos - holder.toldNanos < RETELL_NANOS) {
      return false;
    }
    holder.toldNanos = nowNanos;
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
    Holder holder = holder(key, backend, nowNanos);
    holder.readNanos = nowNanos;
    holder.toldNanos = nowNanos;
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
        .filter(holder -> nowNanos - holder.readNanos <= maxAgeNanos)
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

  private Holder holder(long key, Backend backend, long nowNanos) {
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
