package org.pollenrock.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.collection.BoundedMap;

/**
 * Registry of the backend servers that requests may be sent to.
 *
 * <p>A server that is removed from the server list is out of use immediately. The exception is a
 * list that is or was recently unavailable: entries can expire during the outage although their
 * servers are live, and reappear after it. Removals are therefore deferred until a grace period
 * after the list's return has ended.
 */
public final class Fleet {
  /** Maximum number of removed incarnations that are remembered. */
  private static final int MAX_REMOVED = 4_096;

  private final Map<String, Backend> byId = new HashMap<>();
  private final Map<Long, Backend> byIdHash = new HashMap<>();
  private final Map<String, List<Backend>> usableByService = new HashMap<>();
  private final Map<String, Long> pendingRemovals = new HashMap<>();

  /**
   * Starts of the incarnations that the list has removed, by identifier; the oldest leave first.
   */
  private final Map<String, Long> removedStarts = new BoundedMap<>(MAX_REMOVED);

  /** Incarnations whose entries were removed, by identifier; the oldest leave first. */
  private final Map<String, UnlistedServer> unlistedServers = new BoundedMap<>(MAX_REMOVED);

  /**
   * Incarnation of a server whose entry was removed.
   *
   * @param entry the last entry
   * @param notices what the server has told
   */
  private record UnlistedServer(ListedBackend entry, ServerNotices notices) {}

  private boolean listRead;
  private long membershipVersion;
  private boolean listUnavailable;
  private long removalsDeferredUntilNanos = Long.MIN_VALUE;
  private long listRestoredNanos = Long.MIN_VALUE;

  /** Creates an empty fleet. */
  public Fleet() {}

  /**
   * Adds a server or updates the entry of a known one. A new incarnation replaces the known server
   * and starts without its state.
   *
   * @param entry the new or changed entry
   * @param nowNanos current time
   * @return whether a server was added or replaced, or its readiness changed
   */
  public boolean applyEntry(ListedBackend entry, long nowNanos) {
    Backend known = byId.get(entry.id());
    if (isOutdated(entry, known, nowNanos)) {
      return false;
    }
    pendingRemovals.remove(entry.id());
    if (known == null || !isSameIncarnation(known.entry(), entry)) {
      Backend added = new Backend(entry, knownNotices(entry), nowNanos);
      byId.put(entry.id(), added);
      byIdHash.put(added.idHash(), added);
      membershipVersion++;
      usableByService.clear();
      return true;
    }
    boolean changed = known.entry().ready() != entry.ready();
    known.update(entry);
    if (changed) {
      usableByService.clear();
    }
    return changed;
  }

  /**
   * Removes a server whose entry was removed from the list. During the grace period the removal is
   * deferred until {@link #applyPendingRemovals}.
   *
   * @param id identifier of the server
   * @param nowNanos current time
   * @return whether the server was removed by this call
   */
  public boolean applyRemoval(String id, long nowNanos) {
    if (!byId.containsKey(id)) {
      return false;
    }
    if (isInGracePeriod(nowNanos)) {
      pendingRemovals.putIfAbsent(id, nowNanos);
      return false;
    }
    removeUnlisted(id);
    return true;
  }

  /**
   * Applies a complete read of the list: adds or updates the listed servers and removes the others.
   *
   * @param entries all usable entries of the list
   * @param nowNanos current time
   */
  public void applyFullList(Collection<ListedBackend> entries, long nowNanos) {
    listRead = true;
    Set<String> unlisted = new LinkedHashSet<>(byId.keySet());
    for (ListedBackend entry : entries) {
      unlisted.remove(entry.id());
      applyEntry(entry, nowNanos);
    }
    unlisted.forEach(id -> applyRemoval(id, nowNanos));
  }

  /**
   * Returns whether the complete list was read from the store that is in use.
   *
   * @return false until the first call of {@link #applyFullList}, and from one of {@link
   *     #expectFullList} until the next
   */
  public boolean hasReadList() {
    return listRead;
  }

  /** Records that the list is kept elsewhere from now on. The known servers stay in use. */
  public void expectFullList() {
    listRead = false;
  }

  /** Records that the list cannot be read, which defers removals. */
  public void markListUnavailable() {
    listUnavailable = true;
  }

  /**
   * Records that the list can be read again, which starts the grace period.
   *
   * @param nowNanos current time
   * @param graceNanos length of the grace period, see {@link RelistGrace}
   */
  public void markListAvailable(long nowNanos, long graceNanos) {
    if (listUnavailable) {
      listUnavailable = false;
      removalsDeferredUntilNanos = nowNanos + graceNanos;
    }
  }

  /**
   * Records that the list has come back from an older copy. It lacks recent entries, which their
   * servers write again, and has entries that were changed or removed since. This starts a grace
   * period, in which no server is removed, and no server that drains, was removed or has restarted
   * goes back to what it was.
   *
   * @param nowNanos current time
   * @param graceNanos length of the grace period, see {@link RelistGrace}
   */
  public void markListRestored(long nowNanos, long graceNanos) {
    listUnavailable = false;
    removalsDeferredUntilNanos = nowNanos + graceNanos;
    listRestoredNanos = nowNanos;
  }

  /**
   * Removes the servers with a deferred removal whose entries did not reappear before the end of
   * the grace period.
   *
   * @param nowNanos current time
   * @return identifiers of the removed servers
   */
  public List<String> applyPendingRemovals(long nowNanos) {
    if (pendingRemovals.isEmpty() || isInGracePeriod(nowNanos)) {
      return List.of();
    }
    List<String> removed = List.copyOf(pendingRemovals.keySet());
    removed.forEach(this::removeUnlisted);
    return removed;
  }

  /**
   * Removes a server because a server with another identity responded at its address. The server is
   * added again with its next entry.
   *
   * @param backend the server to remove
   */
  public void removeMisplaced(Backend backend) {
    remove(backend.entry().id());
  }

  /**
   * Applies a notice in the response of a server.
   *
   * @param backend the server that the request was sent to
   * @param notice the notice, which is of another server if that one has taken over the address
   * @param holdSpreadNanos additional time of a hold, which differs between instances
   * @param nowNanos current time
   * @return what has changed
   */
  public NoticeEffect applyNotice(
      Backend backend, ServerNotice notice, long holdSpreadNanos, long nowNanos) {
    boolean own = notice.serverId().isEmpty() || notice.serverId().equals(backend.entry().id());
    Backend responding = own ? backend : byId.get(notice.serverId());
    if (responding == null) {
      return new NoticeEffect.None();
    }
    ServerNotices notices = responding.notices();
    if (notice.holdNanos().isPresent()) {
      notices.recordHold(notice.holdNanos().getAsLong(), holdSpreadNanos, nowNanos);
    } else {
      notices.recordResponse(nowNanos);
    }
    boolean newlyLeaving = notice.leaving() && notices.recordLeaving();
    if (newlyLeaving) {
      usableByService.clear();
    }
    if (newlyLeaving) {
      return new NoticeEffect.Leaving(responding);
    }
    if (notice.holdNanos().isPresent()) {
      return new NoticeEffect.Held(responding);
    }
    return notice.unreadable() && notices.recordUnreadable()
        ? new NoticeEffect.Unreadable(responding)
        : new NoticeEffect.None();
  }

  /**
   * Returns the servers of a service that accept new requests.
   *
   * @param service the service
   * @return the servers, sorted by identifier
   */
  public List<Backend> usableServers(String service) {
    return usableByService.computeIfAbsent(
        service,
        name ->
            byId.values().stream()
                .filter(backend -> backend.entry().ready() && !backend.notices().isLeaving())
                .filter(backend -> backend.entry().service().equals(name))
                .sorted((a, b) -> a.entry().id().compareTo(b.entry().id()))
                .toList());
  }

  /**
   * Returns the software versions of the known servers of each service, also of draining ones.
   *
   * @return the versions by the names of the services
   */
  public Map<String, Set<String>> softwareVersions() {
    Map<String, Set<String>> versions = new HashMap<>();
    for (Backend backend : byId.values()) {
      ListedBackend entry = backend.entry();
      versions
          .computeIfAbsent(entry.service(), service -> new HashSet<>())
          .add(entry.softwareVersion());
    }
    return versions;
  }

  /**
   * Returns a number that changes whenever a server is added or removed.
   *
   * @return the number
   */
  public long membershipVersion() {
    return membershipVersion;
  }

  /**
   * Finds a server by the hash of its identifier.
   *
   * @param idHash the hash, as returned by {@link Backend#idHash}
   * @return the server, or empty if no server with this hash is known
   */
  public Optional<Backend> findByIdHash(long idHash) {
    return Optional.ofNullable(byIdHash.get(idHash));
  }

  /**
   * Returns all known servers, including draining ones.
   *
   * @return the servers
   */
  public Collection<Backend> all() {
    return byId.values();
  }

  /**
   * Returns the missing servers whose next reachability probe is due.
   *
   * @param nowNanos current time
   * @return the servers
   */
  public List<Backend> serversDueForProbe(long nowNanos) {
    return byId.values().stream().filter(backend -> backend.isProbeDue(nowNanos)).toList();
  }

  /** Returns whether an entry is one of an older copy of the list and tells less than is known. */
  private boolean isOutdated(ListedBackend entry, Backend known, long nowNanos) {
    boolean restored =
        listRestoredNanos != Long.MIN_VALUE
            && nowNanos - listRestoredNanos < RelistGrace.REGISTRATION_NANOS;
    if (!restored) {
      return false;
    }
    if (known == null) {
      return removedStarts.getOrDefault(entry.id(), Long.MIN_VALUE) == entry.startMillis();
    }
    return entry.startMillis() < known.entry().startMillis()
        || isSameIncarnation(known.entry(), entry) && !known.entry().ready() && entry.ready();
  }

  private boolean isInGracePeriod(long nowNanos) {
    return listUnavailable
        || removalsDeferredUntilNanos != Long.MIN_VALUE
            && nowNanos - removalsDeferredUntilNanos < 0;
  }

  private void removeUnlisted(String id) {
    Backend removed = byId.get(id);
    if (removed != null) {
      removedStarts.put(id, removed.entry().startMillis());
    }
    remove(id);
  }

  private void remove(String id) {
    pendingRemovals.remove(id);
    Backend removed = byId.remove(id);
    if (removed != null) {
      byIdHash.remove(removed.idHash());
      membershipVersion++;
      usableByService.clear();
      unlistedServers.put(id, new UnlistedServer(removed.entry(), removed.notices()));
    }
  }

  /**
   * Returns the notices for a new entry. An incarnation that is listed again shares them with the
   * state of before, to which responses to earlier requests still arrive.
   */
  private ServerNotices knownNotices(ListedBackend entry) {
    UnlistedServer unlisted = unlistedServers.remove(entry.id());
    return unlisted != null && isSameIncarnation(unlisted.entry(), entry)
        ? unlisted.notices()
        : new ServerNotices();
  }

  private static boolean isSameIncarnation(ListedBackend known, ListedBackend entry) {
    return known.startMillis() == entry.startMillis()
        && known.address().equals(entry.address())
        && known.service().equals(entry.service());
  }
}
