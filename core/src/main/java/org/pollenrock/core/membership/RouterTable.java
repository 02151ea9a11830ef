package org.pollenrock.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Routers of the deployment, from the instance list, seeds and heartbeats.
 *
 * <p>The count for limit shares keeps routers that are silent: a partition must not raise the
 * shares of either side. A router leaves the count only when a list no longer names it and it is
 * silent.
 */
public final class RouterTable {
  private final InstanceId self;
  private final DataCentreId dataCentre;
  private final int seeds;
  private final MembershipSettings settings;
  private final Map<InstanceId, Entry> entries = new TreeMap<>();
  private long listVersion = Long.MIN_VALUE;

  private static final class Entry {
    private DataCentreId dataCentre;
    private boolean inList;
    private boolean leaving;
    private Incarnation incarnation;
    private long sequence;
    private long settingsRevision;
    private boolean heard;
    private long heardNanos;
  }

  /**
   * Creates a table that knows only this router.
   *
   * @param self this router
   * @param dataCentre where it runs
   * @param seeds number of peer addresses in the process settings, this router's own not counted
   * @param settings times
   */
  public RouterTable(
      InstanceId self, DataCentreId dataCentre, int seeds, MembershipSettings settings) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.seeds = seeds;
    this.settings = settings;
  }

  /**
   * Applies a version of the instance list; an older one than already applied is ignored.
   *
   * @param version version of the list
   * @param routers all routers in it
   */
  public void applyList(long version, List<ListedRouter> routers) {
    if (version <= listVersion) {
      return;
    }
    listVersion = version;
    Set<InstanceId> present = new HashSet<>();
    for (ListedRouter router : routers) {
      present.add(router.id());
      Entry entry = entries.computeIfAbsent(router.id(), id -> new Entry());
      entry.dataCentre = router.dataCentre();
      entry.leaving = router.leaving();
    }
    entries.forEach((id, entry) -> entry.inList = present.contains(id));
  }

  /**
   * Applies a heartbeat; repeated, reordered and older ones are ignored.
   *
   * @param heartbeat the heartbeat
   * @param nowNanos current time
   * @return false when it was ignored
   */
  public boolean applyHeartbeat(RouterHeartbeat heartbeat, long nowNanos) {
    if (heartbeat.from().equals(self)) {
      return false;
    }
    Entry entry = entries.computeIfAbsent(heartbeat.from(), id -> new Entry());
    if (!advances(entry, heartbeat)) {
      return false;
    }
    entry.incarnation = heartbeat.incarnation();
    entry.sequence = heartbeat.sequence();
    entry.settingsRevision = heartbeat.settingsRevision();
    entry.dataCentre = heartbeat.dataCentre();
    entry.heard = true;
    entry.heardNanos = nowNanos;
    return true;
  }

  /**
   * Peers that were heard recently.
   *
   * @param nowNanos current time
   * @return their names in order
   */
  public List<InstanceId> reachablePeers(long nowNanos) {
    return entries.entrySet().stream()
        .filter(entry -> isReachable(entry.getValue(), nowNanos))
        .map(Map.Entry::getKey)
        .filter(id -> !id.equals(self))
        .toList();
  }

  /**
   * Routers of this data centre that share its work: this one and the reachable peers that do not
   * leave.
   *
   * @param nowNanos current time
   * @return their names
   */
  public List<InstanceId> activeLocalRouters(long nowNanos) {
    Map<InstanceId, Boolean> workers = new TreeMap<>();
    workers.put(self, true);
    entries.forEach(
        (id, entry) -> {
          boolean near = dataCentre.equals(entry.dataCentre);
          if (near && !entry.leaving && isReachable(entry, nowNanos)) {
            workers.put(id, true);
          }
        });
    return List.copyOf(workers.keySet());
  }

  /**
   * Number of routers that a limit is divided by.
   *
   * @param nowNanos current time
   * @return at least 1; before the first list at least this router and its seeds
   */
  public int limitShareCount(long nowNanos) {
    Set<InstanceId> counted = new HashSet<>();
    counted.add(self);
    entries.forEach(
        (id, entry) -> {
          if (entry.inList || isReachable(entry, nowNanos)) {
            counted.add(id);
          }
        });
    boolean listSeen = listVersion != Long.MIN_VALUE;
    return listSeen ? counted.size() : Math.max(counted.size(), seeds + 1);
  }

  /**
   * Settings revision that each router reported last.
   *
   * @return a copy by name, without routers that were never heard
   */
  public Map<InstanceId, Long> settingsRevisions() {
    Map<InstanceId, Long> revisions = new HashMap<>();
    entries.forEach(
        (id, entry) -> {
          if (entry.heard) {
            revisions.put(id, entry.settingsRevision);
          }
        });
    return Map.copyOf(revisions);
  }

  /**
   * Removes routers that no list names and that have been silent for the forget time.
   *
   * @param nowNanos current time
   */
  public void tick(long nowNanos) {
    entries
        .values()
        .removeIf(
            entry ->
                !entry.inList
                    && (!entry.heard
                        || nowNanos - entry.heardNanos > settings.entryRetentionNanos()));
  }

  /**
   * Routers in the table.
   *
   * @return a count
   */
  public int size() {
    return entries.size();
  }

  private static boolean advances(Entry entry, RouterHeartbeat heartbeat) {
    if (entry.incarnation == null || heartbeat.incarnation().isAfter(entry.incarnation)) {
      return true;
    }
    return entry.incarnation.equals(heartbeat.incarnation())
        && heartbeat.sequence() > entry.sequence;
  }

  private boolean isReachable(Entry entry, long nowNanos) {
    return entry.heard && nowNanos - entry.heardNanos < settings.heartbeatTimeoutNanos();
  }
}
