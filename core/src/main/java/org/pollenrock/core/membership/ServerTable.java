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
 * State of every backend server from all evidence.
 *
 * <p>A server may get work only while it says itself that it is live: to this router, or to a peer
 * that passes it on with its age. So a leaving server gets nothing new after the fresh time, even
 * when neither the list nor the server can be reached. Leaving is sticky for an incarnation; a
 * newer incarnation starts clean; evidence about an older one is ignored.
 */
public final class ServerTable {
  private final MembershipSettings settings;
  private final Map<BackendServerId, Entry> entries = new TreeMap<>();
  private long listVersion = Long.MIN_VALUE;

  private static final class Entry {
    private ListedServer listed;
    private boolean inList;
    private boolean replaced;
    private Incarnation incarnation;
    private boolean restarted;
    private boolean leaving;
    private boolean leavingByList;
    private long incarnationSinceNanos;
    private long saidLiveNanos;
    private boolean saidLive;
    private long toldLiveNanos;
    private boolean toldLive;
    private long heardNanos;

    private Entry(long heardNanos) {
      this.heardNanos = heardNanos;
    }
  }

  /**
   * Creates an empty table.
   *
   * @param settings times
   */
  public ServerTable(MembershipSettings settings) {
    this.settings = settings;
  }

  /**
   * Applies a version of the instance list; an older one than already applied is ignored.
   *
   * @param version version of the list
   * @param servers all backend servers in it
   * @param nowNanos current time
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
          entry.replaced = !entry.inList && addressTaken(entry, addresses);
        });
  }

  /**
   * Applies evidence about one server. Evidence about a server that no list has named is kept, but
   * the server cannot be used until its address is known.
   *
   * @param evidence the evidence
   * @param nowNanos current time
   */
  public void observe(ServerEvidence evidence, long nowNanos) {
    long saidNanos = saidNanos(evidence, nowNanos);
    Entry entry = entries.computeIfAbsent(evidence.server(), id -> new Entry(saidNanos));
    if (!entersIncarnation(entry, evidence.incarnation(), nowNanos)) {
      return;
    }
    entry.heardNanos = Math.max(entry.heardNanos, saidNanos);
    switch (evidence) {
      case ServerEvidence.Report report -> said(entry, report.leaving(), saidNanos, true);
      case ServerEvidence.LeavingRefusal refusal -> said(entry, true, saidNanos, true);
      case ServerEvidence.PeerDigest digest -> said(entry, digest.leaving(), saidNanos, false);
    }
  }

  /**
   * State of a server.
   *
   * @param server its name
   * @param nowNanos current time
   * @return its state; {@link ServerState#GONE} when it is not known
   */
  public ServerState state(BackendServerId server, long nowNanos) {
    Entry entry = entries.get(server);
    return entry == null ? ServerState.GONE : state(entry, nowNanos);
  }

  /**
   * Servers that may get work now.
   *
   * @param nowNanos current time
   * @return what the list says about each, in the order of their names
   */
  public List<ListedServer> usableServers(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.listed != null && state(entry, nowNanos) == ServerState.LIVE)
        .map(entry -> entry.listed)
        .toList();
  }

  /**
   * Servers whose report is to be read: all that are not gone.
   *
   * @param nowNanos current time
   * @return what the list says about each, in the order of their names
   */
  public List<ListedServer> knownServers(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> entry.listed != null && state(entry, nowNanos) != ServerState.GONE)
        .map(entry -> entry.listed)
        .toList();
  }

  /**
   * Newest incarnation of a server.
   *
   * @param server its name
   * @return empty when the server has not been heard
   */
  public Optional<Incarnation> incarnation(BackendServerId server) {
    return Optional.ofNullable(entries.get(server)).map(entry -> entry.incarnation);
  }

  /**
   * What peers are told: leaving servers always, live ones only when this router was told so by the
   * server itself, because a word that peers pass on to each other would never grow old.
   *
   * @param nowNanos current time
   * @return one digest for each such server
   */
  public List<ServerEvidence.PeerDigest> digests(long nowNanos) {
    List<ServerEvidence.PeerDigest> digests = new ArrayList<>();
    entries.forEach(
        (id, entry) -> {
          ServerState state = state(entry, nowNanos);
          boolean leaving = state == ServerState.LEAVING && entry.leaving;
          boolean live = state == ServerState.LIVE && entry.toldLive;
          if (entry.incarnation != null && (leaving || live)) {
            long age = nowNanos - (leaving ? entry.heardNanos : entry.toldLiveNanos);
            digests.add(new ServerEvidence.PeerDigest(id, entry.incarnation, leaving, age));
          }
        });
    return digests;
  }

  /**
   * Removes servers that have been gone for the forget time; until then their incarnation stays, so
   * that late evidence does not bring an old one back.
   *
   * @param nowNanos current time
   */
  public void tick(long nowNanos) {
    entries
        .values()
        .removeIf(
            entry -> !entry.inList && nowNanos - entry.heardNanos > settings.entryRetentionNanos());
  }

  /**
   * Servers in the table, gone ones included.
   *
   * @return a count
   */
  public int size() {
    return entries.size();
  }

  private void applyListed(ListedServer server, long nowNanos) {
    Entry entry = entries.computeIfAbsent(server.id(), id -> new Entry(nowNanos));
    boolean moved = entry.listed != null && !entry.listed.address().equals(server.address());
    boolean newlyLeaving =
        server.leaving() && (entry.listed == null || moved || !entry.listed.leaving());
    if (moved) {
      entry.saidLive = false;
      entry.toldLive = false;
    }
    entry.listed = server;
    entry.heardNanos = nowNanos;
    if (newlyLeaving && !meansPredecessor(entry, nowNanos)) {
      entry.leavingByList = true;
    } else if (!server.leaving()) {
      entry.leavingByList = false;
    }
  }

  /** A lagging list may still speak of the incarnation before a recent restart. */
  private boolean meansPredecessor(Entry entry, long nowNanos) {
    return entry.restarted
        && entry.saidLive
        && nowNanos - entry.incarnationSinceNanos < settings.maxListLagNanos();
  }

  private static boolean addressTaken(Entry entry, Map<String, BackendServerId> addresses) {
    return entry.listed != null && addresses.containsKey(entry.listed.address());
  }

  /** Moves to a newer incarnation, which starts clean; false for an older one. */
  private static boolean entersIncarnation(Entry entry, Incarnation incarnation, long nowNanos) {
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
      entry.saidLive = false;
      entry.toldLive = false;
    }
    return true;
  }

  /** A digest may have been under way as long as a link may be silent before it counts as dead. */
  private long saidNanos(ServerEvidence evidence, long nowNanos) {
    if (evidence instanceof ServerEvidence.PeerDigest digest) {
      return nowNanos - Math.max(0, digest.ageNanos()) - settings.heartbeatTimeoutNanos();
    }
    return nowNanos;
  }

  private static void said(Entry entry, boolean leaving, long saidNanos, boolean direct) {
    if (leaving) {
      entry.leaving = true;
      return;
    }
    if (direct) {
      entry.toldLiveNanos = saidNanos;
      entry.toldLive = true;
    }
    entry.saidLiveNanos = entry.saidLive ? Math.max(entry.saidLiveNanos, saidNanos) : saidNanos;
    entry.saidLive = true;
  }

  private ServerState state(Entry entry, long nowNanos) {
    boolean silent = nowNanos - entry.heardNanos >= settings.livenessTimeoutNanos();
    if (entry.replaced || (!entry.inList && silent)) {
      return ServerState.GONE;
    }
    if (entry.leaving || entry.leavingByList) {
      return ServerState.LEAVING;
    }
    boolean fresh =
        entry.saidLive && nowNanos - entry.saidLiveNanos < settings.livenessTimeoutNanos();
    return fresh ? ServerState.LIVE : ServerState.SILENT;
  }
}
