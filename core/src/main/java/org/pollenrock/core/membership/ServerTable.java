package org.pollenrock.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/**
 * State of all backend servers, derived from the instance list, the servers and the peers.
 *
 * <p>A server may receive requests only while its own report that it is live is recent. The report
 * reaches this router directly or through a peer, which forwards it with its age. A leaving server
 * therefore receives no new requests after the liveness timeout, even if neither the instance list
 * nor the server can be reached. An incarnation that has reported that it is leaving stays in this
 * state; a newer incarnation starts without it. Evidence about an older incarnation is ignored.
 */
public final class ServerTable {
  private final MembershipSettings settings;
  private final Map<BackendServerId, Entry> entries = new TreeMap<>();
  private long listVersion = Long.MIN_VALUE;

  /** Evidence about one server. */
  private static final class Entry {
    private ListedServer listed;
    private boolean inList;
    private boolean addressReassigned;
    private Incarnation incarnation;
    // Whether the current incarnation followed an earlier one that this table knew.
    private boolean restarted;
    // Whether the server itself reported that the current incarnation is leaving.
    private boolean leaving;
    // Whether the list marks the current incarnation as leaving.
    private boolean leavingByList;
    private long incarnationSinceNanos;
    // Newest report that the server is live, direct or through a peer.
    private long reportedLiveNanos;
    private boolean reportedLive;
    // Newest report that the server is live, read by this router itself.
    private long directlyReportedLiveNanos;
    private boolean directlyReportedLive;
    // Time of the newest evidence, including a list that contains the server.
    private long lastEvidenceNanos;

    private Entry(long lastEvidenceNanos) {
      this.lastEvidenceNanos = lastEvidenceNanos;
    }
  }

  /**
   * Creates an empty table.
   *
   * @param settings timeouts
   */
  public ServerTable(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Applies a version of the instance list. A version that is not newer than the last applied one
   * is ignored.
   *
   * @param version version of the list
   * @param servers all backend servers in the list
   * @param nowNanos current time of the monotonic clock in nanoseconds
   */
  public void applyList(long version, List<ListedServer> servers, long nowNanos) {
    if (version <= listVersion) {
      return;
    }
    listVersion = version;
    Map<String, BackendServerId> addresses = new HashMap<>();
    Set<BackendServerId> present = new HashSet<>();
    for (ListedServer server : servers) {
      addresses.put(server.address(), server.id());
      present.add(server.id());
      applyListed(server, nowNanos);
    }
    entries.forEach(
        (id, entry) -> {
          entry.inList = present.contains(id);
          entry.addressReassigned = !entry.inList && isAddressListed(entry, addresses);
        });
  }

  /**
   * Applies evidence about one server. Evidence about a server that has not been in any list is
   * kept, but the server is not usable before a list has given its address.
   *
   * @param evidence the evidence
   * @param nowNanos current time of the monotonic clock in nanoseconds
   */
  public void observe(ServerEvidence evidence, long nowNanos) {
    long reportNanos = reportTimeNanos(evidence, nowNanos);
    Entry entry = entries.computeIfAbsent(evidence.server(), id -> new Entry(reportNanos));
    if (!advanceIncarnation(entry, evidence.incarnation(), nowNanos)) {
      return;
    }
    entry.lastEvidenceNanos = Math.max(entry.lastEvidenceNanos, reportNanos);
    switch (evidence) {
      case ServerEvidence.Report report -> recordReport(entry, report.leaving(), reportNanos, true);
      case ServerEvidence.LeavingRefusal refusal -> recordReport(entry, true, reportNanos, true);
      case ServerEvidence.PeerDigest digest ->
          recordReport(entry, digest.leaving(), reportNanos, false);
    }
  }

  /**
   * Returns the state of a server.
   *
   * @param server id of the server
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the state; {@link ServerState#GONE} if the server is unknown
   */
  public ServerState state(BackendServerId server, long nowNanos) {
    Entry entry = entries.get(server);
    return entry == null ? ServerState.GONE : state(entry, nowNanos);
  }

  /**
   * Returns the servers that may receive requests now.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the list entries of these servers, ordered by id
   */
  public List<ListedServer> usableServers(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.listed != null && state(entry, nowNanos) == ServerState.LIVE)
        .map(entry -> entry.listed)
        .toList();
  }

  /**
   * Returns the servers whose reports must be read: all that are not gone.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return the list entries of these servers, ordered by id
   */
  public List<ListedServer> knownServers(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.listed != null && state(entry, nowNanos) != ServerState.GONE)
        .map(entry -> entry.listed)
        .toList();
  }

  /**
   * Returns the newest known incarnation of a server.
   *
   * @param server id of the server
   * @return the incarnation, or empty if there is no evidence about the server
   */
  public Optional<Incarnation> incarnation(BackendServerId server) {
    return Optional.ofNullable(entries.get(server)).map(entry -> entry.incarnation);
  }

  /**
   * Returns the states of servers that are sent to the peers. A server that has reported that it is
   * leaving is always included. A live server is included only if this router has read its report
   * directly; otherwise peers could forward a report to each other without end, and it would never
   * expire.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   * @return one digest for each of these servers
   */
  public List<ServerEvidence.PeerDigest> digests(long nowNanos) {
    List<ServerEvidence.PeerDigest> digests = new ArrayList<>();
    entries.forEach(
        (id, entry) -> {
          ServerState state = state(entry, nowNanos);
          boolean leaving = state == ServerState.LEAVING && entry.leaving;
          boolean live = state == ServerState.LIVE && entry.directlyReportedLive;
          if (entry.incarnation != null && (leaving || live)) {
            long ageNanos =
                nowNanos - (leaving ? entry.lastEvidenceNanos : entry.directlyReportedLiveNanos);
            digests.add(new ServerEvidence.PeerDigest(id, entry.incarnation, leaving, ageNanos));
          }
        });
    return digests;
  }

  /**
   * Removes servers that are absent from the list and without evidence for longer than the
   * retention time. Until then their incarnation is kept, so that late evidence about an older
   * incarnation is still ignored.
   *
   * @param nowNanos current time of the monotonic clock in nanoseconds
   */
  public void tick(long nowNanos) {
    entries
        .values()
        .removeIf(
            entry ->
                !entry.inList
                    && nowNanos - entry.lastEvidenceNanos > settings.entryRetentionNanos());
  }

  /**
   * Returns the number of servers in the table, including those that are gone.
   *
   * @return the count
   */
  public int size() {
    return entries.size();
  }

  private void applyListed(ListedServer server, long nowNanos) {
    Entry entry = entries.computeIfAbsent(server.id(), id -> new Entry(nowNanos));
    boolean addressChanged =
        entry.listed != null && !entry.listed.address().equals(server.address());
    boolean newlyLeaving =
        server.leaving() && (entry.listed == null || addressChanged || !entry.listed.leaving());
    if (addressChanged) {
      entry.reportedLive = false;
      entry.directlyReportedLive = false;
    }
    entry.listed = server;
    entry.lastEvidenceNanos = nowNanos;
    if (newlyLeaving && !mayReferToPredecessor(entry, nowNanos)) {
      entry.leavingByList = true;
    } else if (!server.leaving()) {
      entry.leavingByList = false;
    }
  }

  /**
   * Returns whether the leaving mark of the list may refer to the incarnation before a recent
   * restart, because the list lags behind.
   */
  private boolean mayReferToPredecessor(Entry entry, long nowNanos) {
    return entry.restarted
        && entry.reportedLive
        && nowNanos - entry.incarnationSinceNanos < settings.maxListLagNanos();
  }

  /** Returns whether a server in the list has the address that the entry had in its last list. */
  private static boolean isAddressListed(Entry entry, Map<String, BackendServerId> addresses) {
    return entry.listed != null && addresses.containsKey(entry.listed.address());
  }

  /**
   * Switches to the given incarnation if it is newer and then discards what was known about the
   * liveness and the leaving of the previous one. Returns false if the given incarnation is older.
   */
  private static boolean advanceIncarnation(Entry entry, Incarnation incarnation, long nowNanos) {
    if (entry.incarnation == null) {
      entry.incarnation = incarnation;
      entry.incarnationSinceNanos = nowNanos;
      return true;
    }
    if (entry.incarnation.isAfter(incarnation)) {
      return false;
    }
    if (incarnation.isAfter(entry.incarnation)) {
      entry.incarnation = incarnation;
      entry.incarnationSinceNanos = nowNanos;
      entry.restarted = true;
      entry.leaving = false;
      entry.leavingByList = false;
      entry.reportedLive = false;
      entry.directlyReportedLive = false;
    }
    return true;
  }

  /**
   * Returns the time of the server's report. The time of a digest is put back by the heartbeat
   * timeout, because its delivery can take as long as a link may be silent before the peer counts
   * as unreachable.
   */
  private long reportTimeNanos(ServerEvidence evidence, long nowNanos) {
    if (evidence instanceof ServerEvidence.PeerDigest digest) {
      return nowNanos - Math.max(0, digest.ageNanos()) - settings.heartbeatTimeoutNanos();
    }
    return nowNanos;
  }

  /** Records that the server reported itself as live or leaving, directly or through a peer. */
  private static void recordReport(Entry entry, boolean leaving, long reportNanos, boolean direct) {
    if (leaving) {
      entry.leaving = true;
      return;
    }
    if (direct) {
      entry.directlyReportedLiveNanos = reportNanos;
      entry.directlyReportedLive = true;
    }
    entry.reportedLiveNanos =
        entry.reportedLive ? Math.max(entry.reportedLiveNanos, reportNanos) : reportNanos;
    entry.reportedLive = true;
  }

  private ServerState state(Entry entry, long nowNanos) {
    boolean silent = nowNanos - entry.lastEvidenceNanos >= settings.livenessTimeoutNanos();
    if (entry.addressReassigned || (!entry.inList && silent)) {
      return ServerState.GONE;
    }
    if (entry.leaving || entry.leavingByList) {
      return ServerState.LEAVING;
    }
    boolean recentlyLive =
        entry.reportedLive && nowNanos - entry.reportedLiveNanos < settings.livenessTimeoutNanos();
    return recentlyLive ? ServerState.LIVE : ServerState.SILENT;
  }
}
