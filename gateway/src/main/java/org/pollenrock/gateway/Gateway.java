package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.ServerSelector;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.weights.WeightsRollout;
import org.pollenrock.core.weights.WeightsTargets;

/**
 * Serves callers from the configuration and the servers that it is told.
 *
 * <p>Every method but {@link #start} and {@link #stop} is to be called on {@link #loop}.
 */
public final class Gateway {
  /** Interval of looking after waiting requests, timeouts and idle connections. */
  private static final long SWEEP_MILLIS = 50;

  /** Sweeps between two looks at connections, which change slowly. */
  private static final int SWEEPS_PER_CONNECTION_SWEEP = 10;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ActiveConfig configs = new ActiveConfig();
  private final Fleet fleet = new Fleet();
  private final WeightsTargets weightsTargets;
  private final PrefixStoreView prefixStore = new PrefixStoreView();
  private final ServerSelector selector;
  private final Dispatcher dispatcher;
  private final ServerConnectionPools connectionPools;
  private final QueuedExchanges queuedExchanges;
  private final BodyMemory bodyMemory;
  private final CallerListener callerListener;
  private final PageListener readinessListener;
  private final Optional<PageListener> operatorListener;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final ControlClient controlClient;
  private final PeerGossip gossip;
  private final ReachabilityMonitor reachability;
  private final List<Runnable> sweepTasks = new ArrayList<>();
  private int sweepCount;
  private long sweepDueNanos = Long.MAX_VALUE;
  private boolean draining;
  private boolean refusingRequests;

  /**
   * Creates a gateway.
   *
   * @param settings its settings
   * @param callerProtocol reads what callers say
   * @param serverProtocol reads and writes what is said to servers
   * @param log the log
   * @param metrics counters and histograms
   */
  public Gateway(
      GatewaySettings settings,
      CallerProtocol callerProtocol,
      ServerProtocol serverProtocol,
      EventLog log,
      GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    weightsTargets = new WeightsTargets(settings.weightsBindingNanos());
    PrefixDirectory directory = new PrefixDirectory();
    selector = new ServerSelector(settings.selector(), directory, prefixStore);
    dispatcher =
        new Dispatcher(
            fleet, selector, weightsTargets, settings.retryAllowance(), System.nanoTime());
    gossip =
        new PeerGossip(
            loop,
            settings.gossipAddress(),
            settings.selector().dataCentre(),
            fleet,
            directory,
            prefixStore,
            log);
    connectionPools = new ServerConnectionPools(loop, new ServerConnectionObserver(metrics, log));
    queuedExchanges = new QueuedExchanges(dispatcher);
    bodyMemory = new BodyMemory(settings.maxHeldBodyBytes());
    controlClient = new ControlClient(loop, log);
    reachability =
        new ReachabilityMonitor(
            fleet, configs, controlClient, gossip, log, metrics, settings.gossipAddress());
    GatewayComponents scope =
        new GatewayComponents(
            loop,
            configs,
            fleet,
            dispatcher,
            selector,
            prefixStore,
            callerProtocol,
            serverProtocol,
            connectionPools,
            log,
            metrics,
            bodyMemory,
            queuedExchanges,
            gossip,
            reachability,
            () -> refusingRequests);
    callerListener =
        new CallerListener(
            loop,
            settings.callerAddress(),
            configs,
            (head, body, response) -> new Exchange(scope, head, body, response),
            log);
    readinessListener =
        new PageListener(
            loop, settings.readinessAddress(), path -> Page.empty(isReady() ? 200 : 503));
    StatePages pages = new StatePages(this, metrics);
    operatorListener =
        settings.operatorAddress().map(address -> new PageListener(loop, address, pages));
    registerGauges(directory);
  }

  /**
   * Binds all addresses and serves.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    if (operatorListener.isPresent()) {
      operatorListener.get().start();
    }
    gossip.start();
    readinessListener.start();
    callerListener.start();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops counting as ready; connections close after their next answer. */
  public void drain() {
    draining = true;
    callerListener.drain();
  }

  /**
   * Closes connections on which nothing is under way, and from now on refuses requests: those that
   * still arrive might not be finished in time.
   */
  public void refuseRequests() {
    refusingRequests = true;
    callerListener.closeIdle();
  }

  /**
   * Requests that are read or answered.
   *
   * @return the number
   */
  public long busyConnections() {
    return callerListener.busyConnections();
  }

  /** Closes everything. */
  public void stop() {
    callerListener.stop();
    readinessListener.stop();
    operatorListener.ifPresent(PageListener::stop);
    gossip.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Tells whether this instance can serve new callers.
   *
   * @return whether configuration and servers are known and it is not stopping
   */
  public boolean isReady() {
    return !draining && configs.current().isPresent() && fleet.hasReadList();
  }

  /**
   * Adds work for every sweep.
   *
   * @param watcher the work
   */
  public void addSweepTask(Runnable watcher) {
    sweepTasks.add(watcher);
  }

  /** Sends waiting requests, because servers changed. */
  public void dispatchQueuedRequests() {
    queuedExchanges.sweep();
  }

  /**
   * Event loop that everything runs on.
   *
   * @return the loop
   */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Configuration in force.
   *
   * @return the history
   */
  public ActiveConfig configs() {
    return configs;
  }

  /**
   * Backend servers.
   *
   * @return the fleet
   */
  public Fleet fleet() {
    return fleet;
  }

  /**
   * TargetVersion versions of weights.
   *
   * @return the targets
   */
  public WeightsTargets weightsTargets() {
    return weightsTargets;
  }

  /**
   * Store of shared prefixes.
   *
   * @return what is known of it
   */
  public PrefixStoreView prefixStore() {
    return prefixStore;
  }

  /**
   * Sends requests to servers.
   *
   * @return the dispatcher
   */
  public Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Client for calls to outside services.
   *
   * @return the client
   */
  public ControlClient controlClient() {
    return controlClient;
  }

  /**
   * Sets the instances of the fleet.
   *
   * @param all every instance, this one included
   */
  public void updatePeers(List<Peer> all) {
    dispatcher.setInstanceCount(all.size());
    gossip.updatePeers(all);
    selector.setAllPeersReporting(gossip.exchangesWithAllPeers());
  }

  /**
   * News to and from other instances.
   *
   * @return the task that sends and takes them
   */
  public PeerGossip gossip() {
    return gossip;
  }

  /**
   * Address that callers connect to.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return callerListener.address();
  }

  private void registerGauges(PrefixDirectory directory) {
    metrics.registerGauge("pollenrock_waiting", "Requests that wait", dispatcher::waitingRequests);
    metrics.registerGauge("pollenrock_held_bytes", "Bytes of bodies held", bodyMemory::heldBytes);
    metrics.registerGauge("pollenrock_log_dropped", "Log lines dropped", log::droppedLines);
    metrics.registerGauge(
        "pollenrock_callers", "Open connections of callers", callerListener::openConnections);
    metrics.registerGauge(
        "pollenrock_config_version",
        "Configuration in force",
        () -> configs.current().map(config -> config.version()).orElse(0L));
    metrics.registerGauge(
        "pollenrock_servers_listed", "Backend servers in the list", () -> fleet.all().size());
    metrics.registerGauge(
        "pollenrock_servers_missing",
        "Backend servers that don't answer",
        () -> fleet.all().stream().filter(Backend::isMissing).count());
    metrics.registerGauge(
        "pollenrock_engines_behind",
        "Engines whose weights are older than the named ones",
        () -> WeightsRollout.countOutdated(fleet.all(), weightsTargets));
    metrics.registerGauge(
        "pollenrock_prefixes_known", "Prefixes whose servers are known", directory::size);
    metrics.registerGauge(
        "pollenrock_resends_left",
        "Further sends that the retry budgets of this instance leave",
        () -> dispatcher.remainingResends(System.nanoTime()));
  }

  private void sweep() {
    long now = System.nanoTime();
    metrics.recordLoopDelay(Math.max(0, now - sweepDueNanos));
    sweepDueNanos = now + SWEEP_MILLIS * 1_000_000;
    for (String gone : fleet.applyPendingRemovals(now)) {
      log.line("server_gone").with("server", gone).with("cause", "not listed again").write();
    }
    reachability.sweep();
    queuedExchanges.sweep();
    sweepTasks.forEach(Runnable::run);
    if (++sweepCount % SWEEPS_PER_CONNECTION_SWEEP == 0) {
      callerListener.sweep();
      connectionPools.sweep(fleet.all());
      fleet.all().forEach(backend -> backend.expirePeerWork(now));
      controlClient.sweep();
    }
  }
}
