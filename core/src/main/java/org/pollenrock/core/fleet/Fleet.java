package org.pollenrock.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The backend servers that may be used.
 *
 * <p>A server that leaves the list is out of use at once, except while the list was away: entries
 * that lapsed meanwhile come back when the list does, so a removal then takes effect only after a
 * grace period.
 */
public final class Fleet {
  /**
   * Time after the return of the list within which live servers have registered again, as the
   * platform states it.
   */
  public static final long RELIST_GRACE_NANOS = 2_000_000_000L;

  private final Map<String, Backend> byId = new HashMap<>();
  private final Map<Long, Backend> bySeed = new HashMap<>();
  private final Map<String, List<Backend>> usable = new HashMap<>();
  private final Map<String, Long> lapsed = new HashMap<>();
  private boolean listRead;
  private boolean listAway;
  private long listBackNanos = Long.MIN_VALUE;

  /** Creates an empty fleet. */
  public Fleet() {}

  /**
   * A server was listed or its entry changed.
   *
   * @param entry the entry
   * @param nowNanos current time
   * @return whether anything that matters to routing changed
   */
  public boolean applyEntry(ListedBackend entry, long nowNanos) {
    lapsed.remove(entry.id());
    Backend known = byId.get(entry.id());
    if (known == null || !sameIncarnation(known.entry(), entry)) {
      Backend added = new Backend(entry, nowNanos);
      byId.put(entry.id(), added);
      bySeed.put(added.seed(), added);
      usable.clear();
      return true;
    }
    boolean changed = known.entry().ready() != entry.ready();
    known.update(entry);
    if (changed) {
      usable.clear();
    }
    return changed;
  }

  /**
   * A server left the list.
   *
   * @param id the server
   * @param nowNanos current time
   * @return whether it is out of use now
   */
  public boolean applyRemoval(String id, long nowNanos) {
    if (!byId.containsKey(id)) {
      return false;
    }
    if (inGrace(nowNanos)) {
      lapsed.putIfAbsent(id, nowNanos);
      return false;
    }
    remove(id);
    return true;
  }

  /**
   * The whole list was read.
   *
   * @param entries every usable entry
   * @param nowNanos current time
   */
  public void applyFullList(Collection<ListedBackend> entries, long nowNanos) {
    listRead = true;
    Set<String> missing = new LinkedHashSet<>(byId.keySet());
    for (ListedBackend entry : entries) {
      missing.remove(entry.id());
      applyEntry(entry, nowNanos);
    }
    missing.forEach(id -> applyRemoval(id, nowNanos));
  }

  /**
   * Tells whether the list was read at least once.
   *
   * @return whether the servers are known
   */
  public boolean hasReadList() {
    return listRead;
  }

  /** The list cannot be read. */
  public void markListUnavailable() {
    listAway = true;
  }

  /**
   * The list can be read again.
   *
   * @param nowNanos current time
   */
  public void markListAvailable(long nowNanos) {
    if (listAway) {
      listAway = false;
      listBackNanos = nowNanos;
    }
  }

  /**
   * Takes servers out of use whose entries did not return in time.
   *
   * @param nowNanos current time
   * @return the servers that were taken out
   */
  public List<String> applyPendingRemovals(long nowNanos) {
    if (lapsed.isEmpty() || inGrace(nowNanos)) {
      return List.of();
    }
    List<String> gone = List.copyOf(lapsed.keySet());
    gone.forEach(this::remove);
    return gone;
  }

  /**
   * A server that answers under another identity stands at the address of an entry.
   *
   * @param backend the entry's server
   */
  public void removeMisplaced(Backend backend) {
    remove(backend.entry().id());
  }

  /**
   * Servers of a service that take new requests.
   *
   * @param service the service
   * @return the servers
   */
  public List<Backend> usableServers(String service) {
    return usable.computeIfAbsent(
        service,
        name ->
            byId.values().stream()
                .filter(backend -> backend.entry().ready())
                .filter(backend -> backend.entry().service().equals(name))
                .sorted((a, b) -> a.entry().id().compareTo(b.entry().id()))
                .toList());
  }

  /**
   * Finds a server by the hash of its identity.
   *
   * @param seed the hash
   * @return the server, if it is known
   */
  public Optional<Backend> findBySeed(long seed) {
    return Optional.ofNullable(bySeed.get(seed));
  }

  /**
   * Every known server, draining ones included.
   *
   * @return the servers
   */
  public Collection<Backend> all() {
    return byId.values();
  }

  /**
   * Missing servers that should be asked for a sign of life now.
   *
   * @param nowNanos current time
   * @return the servers
   */
  public List<Backend> serversDueForProbe(long nowNanos) {
    return byId.values().stream().filter(backend -> backend.isProbeDue(nowNanos)).toList();
  }

  private boolean inGrace(long nowNanos) {
    return listAway
        || listBackNanos != Long.MIN_VALUE && nowNanos - listBackNanos < RELIST_GRACE_NANOS;
  }

  private void remove(String id) {
    lapsed.remove(id);
    Backend removed = byId.remove(id);
    if (removed != null) {
      bySeed.remove(removed.seed());
      usable.clear();
    }
  }

  private static boolean sameIncarnation(ListedBackend known, ListedBackend entry) {
    return known.startMillis() == entry.startMillis()
        && known.address().equals(entry.address())
        && known.service().equals(entry.service());
  }
}
