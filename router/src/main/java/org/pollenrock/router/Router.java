package org.pollenrock.router;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.adapters.engine.ServerOrderMessage;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.core.connection.ConnectionSettings;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.membership.ListedRouter;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.order.ServerOrder;
import org.pollenrock.core.placement.PlacerConfig;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.protocol.link.PeerIdentity;
import org.pollenrock.router.caller.CallerLimits;
import org.pollenrock.router.caller.CallerListener;
import org.pollenrock.router.decision.DecisionState;
import org.pollenrock.router.decision.DecisionTask;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.Outside;
import org.pollenrock.router.decision.ServerEntry;
import org.pollenrock.router.filter.AttemptIds;
import org.pollenrock.router.filter.Filters;
import org.pollenrock.router.filter.RequestPipeline;
import org.pollenrock.router.operator.OperatorListener;
import org.pollenrock.router.operator.OperatorPages;
import org.pollenrock.router.operator.RouterMetrics;
import org.pollenrock.router.operator.RouterView;
import org.pollenrock.router.settings.RouterSettings;
import org.pollenrock.router.task.CacheEventTask;
import org.pollenrock.router.task.ListTask;
import org.pollenrock.router.task.LogReader;
import org.pollenrock.router.task.LogTask;
import org.pollenrock.router.task.PeerTask;
import org.pollenrock.router.task.ReportTask;
import org.pollenrock.settings.HostPort;
import org.pollenrock.settings.ProcessSettings;

/** One router: listeners, clients and tasks. Many can run in one process. */
public final class Router {
  private static final Logger LOG = LogManager.getLogger(Router.class);
  private static final int MAILBOX_SIZE = 65_536;
  private static final long TICK_NANOS = 10_000_000L;
  private static final int CUSTOMER_FLOOR = 1_000;

  /**
   * Data centres within this round trip, in nanoseconds, share the homes of a prefix: a trip of a
   * few milliseconds costs far less than another copy of a dossier in a small cache.
   */
  private static final long REGION_RADIUS_NANOS = 10_000_000L;

  private final RouterConfig config;
  private final EventLoopGroup loops;
  private final HashedWheelTimer timer;
  private final RouterClients clients;
  private final DecisionTask decisionTask;
  private final Decisions decisions;
  private final ListTask listTask;
  private final ReportTask reportTask;
  private final CacheEventTask eventTask;
  private final LogTask logTask;
  private final PeerTask peerTask;
  private final RouterMetrics metrics = new RouterMetrics();
  private final RouterTls tls;
  private final CallerListener callers;
  private final PlannedStop plannedStop;
  private final OperatorListener operators;
  private volatile Optional<RouterSettings> settings = Optional.empty();
  private volatile boolean informed;
  private volatile boolean draining;
  private volatile boolean claimsReadable;
  private final AtomicBoolean stopped = new AtomicBoolean();

  /**
   * Assembles a router; nothing runs before {@link #start}.
   *
   * @param config what it is started with
   */
  public Router(RouterConfig config) {
    ProcessSettings process = config.process();
    String name = process.instance().value();
    this.config = config;
    this.loops =
        new MultiThreadIoEventLoopGroup(
            config.ioThreads(),
            new DefaultThreadFactory(name + "-io", true),
            NioIoHandler.newFactory());
    this.timer = new HashedWheelTimer(new DefaultThreadFactory(name + "-timer", true));
    this.tls = new RouterTls(process.tls(), loops);
    HeldBytes held = new HeldBytes(CallerLimits.of(process).maxHeldBytes());
    this.clients = RouterClients.create(config, loops, timer, held);
    DecisionState state =
        new DecisionState(parameters(config), random(config), new Ports(), System::nanoTime);
    this.decisionTask =
        new DecisionTask(name + "-decisions", MAILBOX_SIZE, TICK_NANOS, () -> tick(state));
    this.decisions = new Decisions(decisionTask, state, System::nanoTime);
    this.listTask =
        new ListTask(
            loops.next(), clients.list(), process.list().pollIntervalNanos(), this::listed);
    this.reportTask =
        new ReportTask(
            loops.next(), clients.engines(), decisions, config.times().reportInterval().toNanos());
    this.eventTask =
        new CacheEventTask(
            loops.next(), clients.engines(), decisions, config.times().reportInterval().toNanos());
    this.logTask =
        new LogTask(
            loops.next(),
            clients.log(),
            new LogReader.Bounds(
                process.log().readRecords(), Duration.ofNanos(process.log().pollWaitNanos())),
            random(config),
            decisions);
    this.peerTask =
        new PeerTask(
            loops,
            new PeerIdentity(name, process.dataCentre().value(), config.incarnation().value()),
            socket(process.listen().peers()),
            tls.peers(),
            process.seeds().stream().map(Router::socket).collect(Collectors.toSet()),
            random(config),
            decisions);
    this.callers =
        new CallerListener(
            loops,
            socket(process.listen().callers()),
            CallerLimits.of(process),
            pipeline(),
            held,
            tls::callers);
    this.plannedStop = new PlannedStop(callers, loops.next(), process.stop());
    this.operators =
        new OperatorListener(
            loops,
            socket(process.listen().operators()),
            new OperatorPages(this::view, decisions, metrics),
            tls::operators);
    registerGauges();
  }

  private void registerGauges() {
    metrics.gauge(
        "pollenrock_settings_available",
        "1 when accepted settings are in force.",
        () -> settings.isPresent() ? 1 : 0);
    metrics.gauge(
        "pollenrock_settings_revision", "Revision of the settings in force.", this::revision);
    metrics.gauge(
        "pollenrock_claims_readable",
        "1 while the claim stream can be read, so that keyed calls are served.",
        () -> claimsReadable ? 1 : 0);
    metrics.gauge(
        "pollenrock_caller_connections", "Open caller connections.", callers::connections);
    metrics.gauge(
        "pollenrock_held_request_bytes", "Bytes of request bodies held now.", callers::heldBytes);
    metrics.gauge(
        "pollenrock_waiting_decisions",
        "Messages that wait for the decision thread.",
        decisions::waiting);
  }

  private RouterView view() {
    List<String> reasons = new ArrayList<>();
    if (draining) {
      reasons.add("draining");
    }
    if (settings.isEmpty()) {
      reasons.add("no accepted settings");
    }
    if (!informed) {
      reasons.add("no engine has reported");
    }
    return new RouterView(
        config.process().instance().value(),
        config.process().dataCentre().value(),
        config.incarnation().value(),
        settings.map(RouterSettings::revision),
        reasons);
  }

  private static Random random(RouterConfig config) {
    return new Random(
        config.process().randomSeed().orElse(config.incarnation().value())
            ^ config.process().instance().value().hashCode());
  }

  private static DecisionState.Parameters parameters(RouterConfig config) {
    ProcessSettings process = config.process();
    return new DecisionState.Parameters(
        process.instance(),
        config.incarnation(),
        process.dataCentre(),
        PlacerConfig.of(process.dataCentre())
            .withCache(process.memory().cacheEntries(), CUSTOMER_FLOOR)
            .withRoundTrips(Map.of(), REGION_RADIUS_NANOS),
        config.strategy(),
        connections(config.times()),
        process.limits().queuedRequests(),
        process.limits().queuedPerCustomer(),
        TimeUnit.NANOSECONDS.toMillis(process.log().retentionNanos()),
        process.memory().claimBytes(),
        process.seeds().size());
  }

  private static ConnectionSettings connections(RouterTimes times) {
    long control = times.control().toNanos();
    return new ConnectionSettings(
        true, times.provenLife().toNanos(), 10 * control, control, 2 * control, TICK_NANOS);
  }

  private static InetSocketAddress socket(HostPort address) {
    return new InetSocketAddress(address.host(), address.port());
  }

  private RequestPipeline pipeline() {
    return new RequestPipeline(
        Filters.chain(
            decisions,
            clients.engines(),
            clients.services(),
            new AttemptIds(config.process().instance(), config.incarnation()),
            metrics,
            config.times(),
            System::nanoTime),
        () -> settings,
        System::nanoTime);
  }

  /** Starts the tasks and listens. */
  public void start() {
    decisionTask.start();
    reportTask.start();
    eventTask.start();
    peerTask.start();
    listTask.start();
    logTask.start();
    tls.start();
    callers.start();
    operators.start();
  }

  /**
   * Stops without losing a request: reports not ready, serves on for the drain delay, then refuses
   * requests, and waits for open responses up to the hard limit. What is still open then is
   * answered, or broken off if its response has begun.
   *
   * @return number of connections whose response was aborted, 0 when all had ended; the router is
   *     stopped then
   */
  public CompletableFuture<Integer> drain() {
    draining = true;
    peerTask.drain();
    LOG.info("draining");
    return plannedStop
        .start()
        .thenApplyAsync(
            count -> {
              stop();
              LOG.info("stopped, {} responses aborted", count);
              return count;
            });
  }

  /** Ends a drain at once: the remaining responses are aborted. */
  public void abortDrain() {
    plannedStop.abort();
  }

  /** Stops at once; open connections are closed. Has no effect when called again. */
  public void stop() {
    if (!stopped.compareAndSet(false, true)) {
      return;
    }
    callers.stop();
    operators.stop();
    tls.stop();
    peerTask.stop();
    logTask.stop();
    listTask.stop();
    reportTask.stop();
    eventTask.stop();
    decisionTask.stop();
    clients.transport().close();
    timer.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Whether this router can serve: it has settings, and its servers have reported.
   *
   * @return true when ready
   */
  public boolean ready() {
    return view().notReady().isEmpty();
  }

  /**
   * Revision of the settings in force.
   *
   * @return the revision, -1 when there are none
   */
  public long revision() {
    return settings.map(RouterSettings::revision).orElse(-1L);
  }

  /**
   * Where callers connect.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return callers.boundAddress();
  }

  /**
   * Where other routers connect.
   *
   * @return the bound address
   */
  public InetSocketAddress peerAddress() {
    return peerTask.boundAddress();
  }

  /**
   * Where operators connect.
   *
   * @return the bound address
   */
  public InetSocketAddress operatorAddress() {
    return operators.boundAddress();
  }

  private void tick(DecisionState state) {
    state.tick();
    informed = state.knowsEngines();
    claimsReadable = state.claims().readable();
  }

  private void listed(ListTask.Listing listing) {
    decisions.tell(
        state -> {
          state.servers(listing.version(), listing.servers());
          state.routers(listing.version(), listing.routers());
        });
    Set<InetSocketAddress> peers = new HashSet<>();
    for (ListedRouter router : listing.routers()) {
      if (!router.id().equals(config.process().instance())) {
        HostPort.parse(router.address()).map(Router::socket).ifPresent(peers::add);
      }
    }
    peerTask.connectTo(peers);
  }

  private final class Ports implements Outside {
    @Override
    public void append(String stream, byte[] data) {
      logTask.append(stream, data);
    }

    @Override
    public void order(ServerEntry entry, ServerOrder order) {
      ServerOrderMessage message =
          new ServerOrderMessage(
              order.orderId(),
              order.assignment().model().value(),
              order.assignment().version().value(),
              order.assignment().role(),
              order.fencingNumber().value());
      clients
          .engines()
          .order(new EngineAddress(entry.id(), entry.address()), message)
          .thenAccept(
              result ->
                  decisions.tell(
                      state ->
                          state.rollouts().ordered(order, result.equals(Result.success(false)))));
    }

    @Override
    public void applied(long offset) {
      peerTask.applied(offset);
    }

    @Override
    public void pull(String peer, long from) {
      peerTask.pull(peer, from);
    }

    @Override
    public void sendRecords(String peer, List<LogRecord> records) {
      peerTask.sendRecords(peer, records);
    }

    @Override
    public void broadcastRecords(List<LogRecord> records) {
      peerTask.broadcastRecords(records);
    }

    @Override
    public void sendLoan(InstanceId to, LoanMessage message) {
      peerTask.sendLoan(to, message);
    }

    @Override
    public void broadcastDigests(List<ServerEvidence.PeerDigest> digests) {
      peerTask.broadcastDigests(digests);
    }

    @Override
    public void probe(ServerEntry entry, long probe) {
      clients
          .engines()
          .probe(new EngineAddress(entry.id(), entry.address()))
          .thenAccept(
              result ->
                  decisions.tell(
                      state ->
                          state.probeEnded(
                              entry.id(), probe, result instanceof Result.Success<?>)));
    }

    @Override
    public void pokeReport(BackendServerId server) {
      reportTask.poke(server);
    }

    @Override
    public void watchReports(List<ServerEntry> servers) {
      reportTask.servers(servers);
      eventTask.servers(servers);
    }

    @Override
    public void appendClaims(long appendId, byte[] data) {
      logTask.appendClaims(appendId, data);
    }

    @Override
    public void appendSnapshot(List<byte[]> records) {
      logTask.appendSnapshot(records);
    }

    @Override
    public void inForce(RouterSettings accepted) {
      settings = Optional.of(accepted);
    }
  }
}
