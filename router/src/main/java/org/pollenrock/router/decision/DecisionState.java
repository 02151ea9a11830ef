package org.pollenrock.router.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.pollenrock.core.cache.CacheEvent;
import org.pollenrock.core.claim.ClaimCoordinator;
import org.pollenrock.core.connection.ConnectionSettings;
import org.pollenrock.core.lease.LeaseOwner;
import org.pollenrock.core.limits.ShareLedger;
import org.pollenrock.core.limits.ShareSettings;
import org.pollenrock.core.membership.ListedRouter;
import org.pollenrock.core.membership.MembershipSettings;
import org.pollenrock.core.membership.RouterHeartbeat;
import org.pollenrock.core.membership.RouterTable;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.placement.ExpectedCostStrategy;
import org.pollenrock.core.placement.PlacementStrategy;
import org.pollenrock.core.placement.Placer;
import org.pollenrock.core.placement.PlacerConfig;
import org.pollenrock.core.placement.ServedModel;
import org.pollenrock.core.placement.ServerLoad;
import org.pollenrock.core.placement.ServerReport;
import org.pollenrock.core.settings.SnapshotSchedule;
import org.pollenrock.router.settings.RouterSettings;

/** All state that decisions are made on; confined to the decision thread. */
public final class DecisionState {
  private static final long MILLI = 1_000_000L;
  private static final long TELL_INTERVAL_NANOS = 400 * MILLI;
  private static final long REFRESH_INTERVAL_NANOS = 100 * MILLI;
  private static final int LEND_PERCENT = 50;
  private static final int MAX_LOANS = 1_000;

  private final ServerDirectory directory;
  private final ServerHealthBook health = new ServerHealthBook();
  private final ShareLedger shares;
  private final Admission admission;
  private final EnginePlacement placement;
  private final PlainPlacement plain;
  private final Retries retries;
  private final LinkWatch links;
  private final Claims claims;
  private final SettingsLog settingsLog;
  private final RouterTable routerTable;
  private final Rollouts rollouts;
  private final Loans loans;
  private final Outside outside;
  private final LongSupplier nanoClock;
  private final Set<ModelId> models = new HashSet<>();
  private List<ServerEntry> watched = List.of();
  private List<InstanceId> routerIds;
  private int routers = 1;
  private long nextTellNanos;
  private long nextRefreshNanos;

  /**
   * Who decides, and within which bounds.
   *
   * @param instance this router
   * @param incarnation its incarnation
   * @param dataCentre where it runs
   * @param placer parameters of the placer
   * @param strategy how engines are chosen
   * @param connections deadlines of links
   * @param maxQueued most requests that wait for a slot
   * @param maxQueuedPerCustomer most of one customer
   * @param logRetentionMillis time for which the log keeps records, in milliseconds
   * @param claimBytes memory of the claim table
   * @param seeds number of peer addresses in the process settings
   */
  public record Parameters(
      InstanceId instance,
      Incarnation incarnation,
      DataCentreId dataCentre,
      PlacerConfig placer,
      PlacementStrategy strategy,
      ConnectionSettings connections,
      int maxQueued,
      int maxQueuedPerCustomer,
      long logRetentionMillis,
      long claimBytes,
      int seeds) {
    /**
     * The strategy of normal operation.
     *
     * @return choice by expected cost
     */
    public static PlacementStrategy defaultStrategy() {
      return new ExpectedCostStrategy();
    }
  }

  /**
   * Creates the state of a router that has just started.
   *
   * @param parameters who decides
   * @param random randomness of this router
   * @param outside tasks that own connections
   * @param nanoClock monotonic clock
   */
  public DecisionState(
      Parameters parameters, RandomGenerator random, Outside outside, LongSupplier nanoClock) {
    this.outside = outside;
    this.nanoClock = nanoClock;
    this.directory = new ServerDirectory(nanoClock);
    this.shares =
        new ShareLedger(
            parameters.instance(),
            parameters.incarnation(),
            new ShareSettings(
                2_000 * MILLI, 100 * MILLI, 200 * MILLI, 100 * MILLI, LEND_PERCENT, MAX_LOANS),
            random,
            nanoClock.getAsLong());
    this.admission =
        new Admission(shares, parameters.maxQueued(), parameters.maxQueuedPerCustomer());
    this.placement =
        new EnginePlacement(
            new Placer(parameters.placer(), parameters.strategy(), random), directory, health);
    this.plain = new PlainPlacement(parameters.dataCentre(), directory, health);
    this.retries = new Retries(random);
    this.links = new LinkWatch(parameters.connections(), new LinkActions());
    this.claims =
        new Claims(
            new ClaimCoordinator(
                parameters.instance(), parameters.incarnation(), Claims.settings(parameters)),
            outside::appendClaims,
            nanoClock);
    this.settingsLog =
        new SettingsLog(
            new SnapshotSchedule(parameters.instance(), parameters.logRetentionMillis()),
            this::inForce,
            outside::appendSnapshot,
            outside,
            random,
            nanoClock);
    this.loans = new Loans(shares, admission, outside, nanoClock);
    admission.whenExceeded(loans::exceeded);
    this.rollouts =
        new Rollouts(
            new LeaseOwner(parameters.instance(), parameters.incarnation()),
            directory,
            outside,
            nanoClock);
    this.routerTable =
        new RouterTable(
            parameters.instance(),
            parameters.dataCentre(),
            parameters.seeds(),
            MembershipSettings.defaults());
    this.routerIds = List.of(parameters.instance());
    this.nextTellNanos = nanoClock.getAsLong();
    this.nextRefreshNanos = nextTellNanos;
  }

  private void inForce(RouterSettings settings) {
    retries.settings(settings.tree());
    rollouts.settings(settings);
    loans.settings(settings);
    outside.inForce(settings);
  }

  private final class LinkActions implements LinkWatch.Actions {
    @Override
    public void probe(BackendServerId server, long probe) {
      directory
          .find(server)
          .ifPresentOrElse(
              entry -> outside.probe(entry, probe), () -> probeEnded(server, probe, false));
    }

    @Override
    public void suspect(BackendServerId server, boolean suspect) {
      directory.suspect(server, suspect);
    }
  }

  /**
   * Takes the end of a probe.
   *
   * @param server the server
   * @param probe number of the probe
   * @param success whether the server answered
   */
  public void probeEnded(BackendServerId server, long probe, boolean success) {
    links.probeEnded(server, probe, success, now());
  }

  /**
   * Takes a version of the instance list.
   *
   * @param version version of the list
   * @param listed every backend server in it
   */
  public void servers(long version, List<ServerEntry> listed) {
    directory.listed(version, listed);
    watchReports();
    refreshModels();
  }

  private void watchReports() {
    List<ServerEntry> current = List.copyOf(directory.all());
    if (!current.equals(watched)) {
      watched = current;
      outside.watchReports(current);
    }
  }

  /**
   * Takes the routers of the instance list.
   *
   * @param version version of the list
   * @param listed every router in it
   */
  public void routers(long version, List<ListedRouter> listed) {
    routerTable.applyList(version, listed);
    routerIds = listed.stream().filter(entry -> !entry.leaving()).map(ListedRouter::id).toList();
    routers = Math.max(1, routerIds.size());
    shares.setRouters(routerIds);
    refreshWorkers();
    refreshModels();
  }

  /**
   * Takes a heartbeat of another router.
   *
   * @param heartbeat the heartbeat
   */
  public void routerHeartbeat(RouterHeartbeat heartbeat) {
    if (routerTable.applyHeartbeat(heartbeat, now())) {
      settingsLog.peerApplied(heartbeat.from().value(), heartbeat.settingsRevision());
    }
  }

  /**
   * Takes what a peer passes on of servers.
   *
   * @param digests one entry for each server
   */
  public void peerDigests(List<ServerEvidence.PeerDigest> digests) {
    directory.passedOn(digests);
  }

  /** Passes on to all peers what servers said to this router. */
  public void tellPeers() {
    refreshWorkers();
    long now = now();
    if (now - nextTellNanos < 0) {
      return;
    }
    nextTellNanos = now + TELL_INTERVAL_NANOS;
    List<ServerEvidence.PeerDigest> digests = directory.digests();
    if (!digests.isEmpty()) {
      outside.broadcastDigests(digests);
    }
  }

  private void refreshWorkers() {
    placement.placer().setRouterCount(Math.max(1, routerTable.activeLocalRouters(now()).size()));
  }

  /**
   * Takes an engine's report.
   *
   * @param report the report
   * @param work the same report as rollouts read it
   */
  public void engineReport(ServerReport report, org.pollenrock.core.order.ServerReport work) {
    boolean leaving = work.phase() == org.pollenrock.core.order.ServerReport.Phase.LEAVING;
    directory.reported(report.server(), report.incarnation(), leaving);
    placement.report(report, now());
    rollouts.report(work);
    boolean news = false;
    for (ServedModel served : report.models()) {
      news |= models.add(served.model());
    }
    if (news) {
      refreshModels();
    }
  }

  /**
   * Takes cache events of an engine.
   *
   * @param server the engine
   * @param incarnation the incarnation that they belong to
   * @param events the events in ascending order
   * @param complete whether the engine shows no more at present
   */
  public void cacheEvents(
      BackendServerId server, Incarnation incarnation, List<CacheEvent> events, boolean complete) {
    long now = now();
    boolean current = placement.placer().applyCacheEvents(server, incarnation, events, now);
    if (current && complete) {
      placement.placer().markCacheEventsCaughtUp(server, incarnation, now);
    }
  }

  /**
   * Takes a plain server's report.
   *
   * @param server the server
   * @param incarnation its incarnation
   * @param leaving whether it says that it takes no new work
   */
  public void plainReport(BackendServerId server, Incarnation incarnation, boolean leaving) {
    directory.reported(server, incarnation, leaving);
  }

  /**
   * Takes a refusal of a plain server that is leaving.
   *
   * @param server the server
   */
  void plainLeaving(BackendServerId server) {
    directory
        .incarnation(server)
        .ifPresent(incarnation -> directory.refusedLeaving(server, incarnation));
  }

  private void refreshModels() {
    Map<ModelId, Integer> slots = new HashMap<>();
    for (ModelId model : models) {
      List<ServerLoad> servers = placement.servers(model);
      int accepting =
          servers.stream().filter(ServerLoad::accepting).mapToInt(ServerLoad::slots).sum();
      slots.put(model, accepting);
      health.members(
          EnginePlacement.group(model), servers.stream().map(ServerLoad::server).toList(), now());
    }
    slots.forEach((model, total) -> admission.engineSlots(model, total, routers));
  }

  private void refreshServers() {
    for (BackendServerId gone : directory.tick()) {
      placement.gone(gone);
      links.gone(gone);
    }
    watchReports();
    routerTable.tick(now());
    refreshModels();
  }

  /** Does what is due. */
  public void tick() {
    if (now() - nextRefreshNanos >= 0) {
      nextRefreshNanos = now() + REFRESH_INTERVAL_NANOS;
      refreshServers();
    }
    admission.tick(now());
    links.tick(now());
    claims.tick();
    settingsLog.tick(routerIds);
    rollouts.tick();
    loans.tick();
  }

  /**
   * Whether every listed model server has reported or is suspect, so that choices are informed.
   *
   * @return true when at least one engine has reported
   */
  public boolean knowsEngines() {
    return !models.isEmpty();
  }

  /**
   * The newest placements, newest first.
   *
   * @return a copy
   */
  public List<Explanation> explanations() {
    return placement.explanations();
  }

  /**
   * A bounded summary for operators.
   *
   * @return counts and servers
   */
  public StateSummary summary() {
    List<StateSummary.Server> servers =
        directory.all().stream()
            .limit(StateSummary.MAX_SERVERS)
            .map(entry -> summary(entry))
            .toList();
    return new StateSummary(
        servers,
        routers,
        admission.waiting(),
        admission.running(),
        placement.placer().inFlightCount(),
        placement.placer().cacheIndex().entryCount(),
        health.ejected());
  }

  private StateSummary.Server summary(ServerEntry entry) {
    var load = placement.placer().load(entry.id());
    return new StateSummary.Server(
        entry.id().value(),
        entry.role().name(),
        entry.dataCentre().value(),
        load.map(known -> known.incarnation().value()).orElse(0L),
        load.map(known -> known.models().stream().map(ServedModel::toString).toList())
            .orElse(List.of()),
        load.map(known -> known.queueTokens(now())).orElse(0.0),
        load.map(ServerLoad::inFlightCount).orElse(0),
        directory.isUsable(entry.id()),
        directory.isSuspect(entry.id()));
  }

  /**
   * Claims of non-idempotent calls.
   *
   * @return the claims
   */
  public Claims claims() {
    return claims;
  }

  /**
   * Loans of limit shares.
   *
   * @return the loans
   */
  public Loans loans() {
    return loans;
  }

  /**
   * Rollouts of weights.
   *
   * @return the rollouts
   */
  public Rollouts rollouts() {
    return rollouts;
  }

  /**
   * Settings as the log has them.
   *
   * @return the settings
   */
  public SettingsLog settingsLog() {
    return settingsLog;
  }

  void pokeReport(BackendServerId server) {
    outside.pokeReport(server);
  }

  ServerDirectory directory() {
    return directory;
  }

  Admission admission() {
    return admission;
  }

  EnginePlacement placement() {
    return placement;
  }

  PlainPlacement plain() {
    return plain;
  }

  Retries retries() {
    return retries;
  }

  LinkWatch links() {
    return links;
  }

  private long now() {
    return nanoClock.getAsLong();
  }
}
