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
 * Routers of the deployment, known from the instance list, the seed addresses and heartbeats.
 *
 * <p>The count of routers among which limits are divided includes unreachable routers, because a
 * network partition must not raise the shares on either side. A router is no longer counted when it
 * is absent from the instance list and unreachable.
 */
public final class RouterTable {
  private final InstanceId self;
  private final DataCentreId dataCentre;
  private final int seedCount;
  private final MembershipSettings settings;
  private final Map<InstanceId, Entry> entries = new TreeMap<>();
  private long listVersion = Long.MIN_VALUE;

  /** State of one router from the instance list and its heartbeats. */
  private static final class Entry {
    private DataCentreId dataCentre;
    private boolean inList;
    private boolean leaving;
    private Incarnation incarnation;
    private long sequence;
    private long settingsRevision;
    private boolean heartbeatReceived;
    private long lastHeartbeatNanos;
  }

  /**
   * Creates a table that contains no other router.
   *
   * @param self id of this router
   * @param dataCentre data centre in which this router runs
   * @param seedCount number of peer addresses in the process settings, without this router's own
   * @param settings timeouts
   */
  public RouterTable(
      InstanceId self, DataCentreId dataCentre, int seedCount, MembershipSettings settings) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.seedCount = seedCount;
    this.settings = settings;
  }

  /**
   * Applies a version of the instance list. A version that is not newer than the last applied one
   * is ignored.
   *
   * @param version version of the list
   * @param routers all routers in the list
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
   * Applies a heartbeat of a peer. Repeated and reordered heartbeats, those of an earlier
   * incarnation and this router's own are ignored.
   *
   * @param heartbeat the heartbeat
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return whether the heartbeat was applied
   */
  public boolean applyHeartbeat(RouterHeartbeat heartbeat, long nowNanos) {
    if (heartbeat.from().equals(self)) {
      return false;
    }
    Entry entry = entries.computeIfAbsent(heartbeat.from(), id -> new Entry());
    if (!isNewer(entry, heartbeat)) {
      return false;
    }
    entry.incarnation = heartbeat.incarnation();
    entry.sequence = heartbeat.sequence();
    entry.settingsRevision = heartbeat.settingsRevision();
    entry.dataCentre = heartbeat.dataCentre();
    entry.heartbeatReceived = true;
    entry.lastHeartbeatNanos = nowNanos;
    return true;
  }

  /**
   * Returns the peers whose last heartbeat is recent enough.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the ids of the peers in ascending order
   */
  public List<InstanceId> reachablePeers(long nowNanos) {
    return entries.entrySet().stream()
        .filter(entry -> isReachable(entry.getValue(), nowNanos))
        .map(Map.Entry::getKey)
        .filter(id -> !id.equals(self))
        .toList();
  }

  /**
   * Returns the routers of this data centre that divide its work among them: this router and the
   * reachable peers that are not leaving.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the ids of the routers in ascending order
   */
  public List<InstanceId> activeLocalRouters(long nowNanos) {
    Map<InstanceId, Boolean> active = new TreeMap<>();
    active.put(self, true);
    entries.forEach(
        (id, entry) -> {
          boolean sameDataCentre = dataCentre.equals(entry.dataCentre);
          if (sameDataCentre && !entry.leaving && isReachable(entry, nowNanos)) {
            active.put(id, true);
          }
        });
    return List.copyOf(active.keySet());
  }

  /**
   * Returns the number of routers by which a limit is divided.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the count, at least 1; before the first instance list at least the number of seed
   *     addresses plus 1
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
    boolean listApplied = listVersion != Long.MIN_VALUE;
    return listApplied ? counted.size() : Math.max(counted.size(), seedCount + 1);
  }

  /**
   * Returns the settings revision in the last heartbeat of each peer.
   *
   * @return a copy of the revisions by router id, without routers that sent no heartbeat
   */
  public Map<InstanceId, Long> settingsRevisions() {
    Map<InstanceId, Long> revisions = new HashMap<>();
    entries.forEach(
        (id, entry) -> {
          if (entry.heartbeatReceived) {
            revisions.put(id, entry.settingsRevision);
          }
        });
    return Map.copyOf(revisions);
  }

  /**
   * Removes routers that are absent from the instance list and sent no heartbeat within the
   * retention time.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   */
  public void tick(long nowNanos) {
    entries
        .values()
        .removeIf(
            entry ->
                !entry.inList
                    && (!entry.heartbeatReceived
                        || nowNanos - entry.lastHeartbeatNanos > settings.entryRetentionNanos()));
  }

  /**
   * Returns the number of routers in the table.
   *
   * @return the count
   */
  public int size() {
    return entries.size();
  }

  /** Returns whether a heartbeat is newer than the last one that was applied. */
  private static boolean isNewer(Entry entry, RouterHeartbeat heartbeat) {
    if (entry.incarnation == null || heartbeat.incarnation().isAfter(entry.incarnation)) {
      return true;
    }
    return entry.incarnation.equals(heartbeat.incarnation())
        && heartbeat.sequence() > entry.sequence;
  }

  private boolean isReachable(Entry entry, long nowNanos) {
    return entry.heartbeatReceived
        && nowNanos - entry.lastHeartbeatNanos < settings.heartbeatTimeoutNanos();
  }
}
