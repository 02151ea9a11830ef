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
  private static final int CONNECTION_SWEEPS = 10;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ActiveConfig configs = new ActiveConfig();
  private final Fleet fleet = new Fleet();
  private final WeightsTargets targets;
  private final PrefixStoreView prefixStore = new PrefixStoreView();
  private final ServerSelector selector;
  private final Dispatcher dispatcher;
  private final ServerLinks links;
  private final QueuedExchanges queuedExchanges;
  private final HeldMemory memory;
  private final CallerListener callers;
  private final PageListener readiness;
  private final Optional<PageListener> operators;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final ControlClient control;
  private final PeerGossip news;
  private final ServerPresence presence;
  private final List<Runnable> watchers = new ArrayList<>();
  private int sweeps;
  private long sweepDueNanos = Long.MAX_VALUE;
  private boolean draining;
  private boolean refusing;

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
    targets = new WeightsTargets(settings.weightsBindingNanos());
    PrefixDirectory directory = new PrefixDirectory();
    selector = new ServerSelector(settings.selector(), directory, prefixStore);
    dispatcher =
        new Dispatcher(fleet, selector, targets, settings.retryAllowance(), System.nanoTime());
    news =
        new PeerGossip(
            loop,
            settings.gossipAddress(),
            settings.selector().dataCentre(),
            fleet,
            directory,
            prefixStore,
            log);
    links = new ServerLinks(loop, new LinkObserver(metrics, log));
    queuedExchanges = new QueuedExchanges(dispatcher);
    memory = new HeldMemory(settings.maxHeldBodyBytes());
    control = new ControlClient(loop, log);
    presence =
        new ServerPresence(fleet, configs, control, news, log, metrics, settings.gossipAddress());
    ExchangeScope scope =
        new ExchangeScope(
            loop,
            configs,
            fleet,
            dispatcher,
            selector,
            prefixStore,
            callerProtocol,
            serverProtocol,
            links,
            log,
            metrics,
            memory,
            queuedExchanges,
            news,
            presence,
            () -> refusing);
    callers =
        new CallerListener(
            loop,
            settings.callerAddress(),
            configs,
            (head, body, response) -> new Exchange(scope, head, body, response),
            log);
    readiness =
        new PageListener(
            loop, settings.readinessAddress(), path -> Page.empty(isReady() ? 200 : 503));
    StatePages pages = new StatePages(this, metrics);
    operators = settings.operatorAddress().map(address -> new PageListener(loop, address, pages));
    registerGauges(directory);
  }

  /**
   * Binds all addresses and serves.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    if (operators.isPresent()) {
      operators.get().start();
    }
    news.start();
    readiness.start();
    callers.start();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops counting as ready; connections close after their next answer. */
  public void drain() {
    draining = true;
    callers.drain();
  }

  /**
   * Closes connections on which nothing is under way, and from now on refuses requests: those that
   * still arrive might not be finished in time.
   */
  public void refuseRequests() {
    refusing = true;
    callers.closeIdle();
  }

  /**
   * Requests that are read or answered.
   *
   * @return the number
   */
  public long busyConnections() {
    return callers.busy();
  }

  /** Closes everything. */
  public void stop() {
    callers.stop();
    readiness.stop();
    operators.ifPresent(PageListener::stop);
    news.stop();
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
    watchers.add(watcher);
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
   * Named versions of weights.
   *
   * @return the targets
   */
  public WeightsTargets weightsTargets() {
    return targets;
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
    return control;
  }

  /**
   * Sets the instances of the fleet.
   *
   * @param all every instance, this one included
   */
  public void updatePeers(List<Peer> all) {
    dispatcher.setInstanceCount(all.size());
    news.peers(all);
    selector.setAllPeersReporting(news.hearsAll());
  }

  /**
   * News to and from other instances.
   *
   * @return the task that sends and takes them
   */
  public PeerGossip gossip() {
    return news;
  }

  /**
   * Address that callers connect to.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  private void registerGauges(PrefixDirectory directory) {
    metrics.registerGauge("pollenrock_waiting", "Requests that wait", dispatcher::waitingRequests);
    metrics.registerGauge("pollenrock_held_bytes", "Bytes of bodies held", memory::heldBytes);
    metrics.registerGauge("pollenrock_log_dropped", "Log lines dropped", log::droppedLines);
    metrics.registerGauge("pollenrock_callers", "Open connections of callers", callers::size);
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
        () -> WeightsRollout.countOutdated(fleet.all(), targets));
    metrics.registerGauge(
        "pollenrock_prefixes_known", "Prefixes whose servers are known", directory::size);
    metrics.registerGauge(
        "pollenrock_resends_left",
        "Further sends that the retry budgets of this instance leave",
        () -> dispatcher.remainingResends(System.nanoTime()));
  }

  private void sweep() {
    long now = System.nanoTime();
    metrics.loopDelay(Math.max(0, now - sweepDueNanos));
    sweepDueNanos = now + SWEEP_MILLIS * 1_000_000;
    for (String gone : fleet.applyPendingRemovals(now)) {
      log.line("server_gone").with("server", gone).with("cause", "not listed again").write();
    }
    presence.sweep();
    queuedExchanges.sweep();
    watchers.forEach(Runnable::run);
    if (++sweeps % CONNECTION_SWEEPS == 0) {
      callers.sweep();
      links.sweep(fleet.all());
      fleet.all().forEach(backend -> backend.expirePeerWork(now));
      control.sweep();
    }
  }
}
