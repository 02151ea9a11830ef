package org.pollenrock.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;

/**
 * Where this instance had shared beginnings of prompts read lately.
 *
 * <p>What other instances had read is not known here; all instances rank the servers of a beginning
 * alike, so that it is likely to be found at the first ones.
 */
public final class PrefixDirectory {
  /** Beginnings that are remembered; the least recently used one yields. */
  public static final int MAX_BEGINNINGS = 8192;

  /** Servers that are remembered of one beginning, the latest first. */
  private static final int MAX_HOLDERS = 3;

  /** Time for which a server is taken to keep a beginning that it read. */
  private static final long KEPT_NANOS = 8_000_000_000L;

  /**
   * A shared beginning as caches tell it apart.
   *
   * @param beginning hash of model and beginning
   * @param scope customers that share it
   * @param weights version of the weights that read it
   */
  public record Key(long beginning, String scope, long weights) {}

  private record Holder(Backend backend, long readNanos) {}

  private final Map<Key, Deque<Holder>> holders =
      new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Deque<Holder>> eldest) {
          return size() > MAX_BEGINNINGS;
        }
      };

  /** Creates an empty directory. */
  public PrefixDirectory() {}

  /**
   * A server has read a beginning.
   *
   * @param key the beginning
   * @param backend the server
   * @param nowNanos current time
   */
  public void read(Key key, Backend backend, long nowNanos) {
    Deque<Holder> known = holders.computeIfAbsent(key, added -> new ArrayDeque<>(MAX_HOLDERS));
    known.removeIf(holder -> holder.backend() == backend);
    known.addFirst(new Holder(backend, nowNanos));
    if (known.size() > MAX_HOLDERS) {
      known.removeLast();
    }
  }

  /**
   * Servers that are taken to keep a beginning.
   *
   * @param key the beginning
   * @param nowNanos current time
   * @return the servers, the one that read it last first
   */
  public List<Backend> holders(Key key, long nowNanos) {
    Deque<Holder> known = holders.get(key);
    if (known == null) {
      return List.of();
    }
    known.removeIf(holder -> nowNanos - holder.readNanos() > KEPT_NANOS);
    return known.stream().map(Holder::backend).toList();
  }
}
