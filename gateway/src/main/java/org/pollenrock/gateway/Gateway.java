package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.ServerSelector;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.membership.UnknownInstances;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.response.HeadCheck;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.weights.WeightsTargets;

/**
 * HTTP gateway that relays requests of callers to backend servers.
 *
 * <p>Creates the components of the gateway and connects them. The configuration and the list of
 * servers are supplied from outside, through {@link #configs} and {@link #fleet}. All methods
 * except {@link #start} and {@link #stop} must be called on the event loop {@link #loop}.
 */
public final class Gateway {
  /** Interval of the periodic work on waiting requests, timeouts and idle connections. */
  static final long SWEEP_MILLIS = 50;

  /** Sweeps between two checks of the connections, whose state changes slowly. */
  private static final int SWEEPS_PER_CONNECTION_SWEEP = 10;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ActiveConfig configs = new ActiveConfig();
  private final Fleet fleet = new Fleet();
  private final WeightsTargets weightsTargets;
  private final PrefixDirectory directory = new PrefixDirectory();
  private final PrefixStoreView prefixStore = new PrefixStoreView();
  private final QuarantineTask quarantineTask;
  private final RateLimitTask rateLimits;
  private final ServerSelector selector;
  private final Dispatcher dispatcher;
  private final ServerConnectionPools connectionPools;
  private final QueuedExchanges queuedExchanges;
  private final BodyMemory bodyMemory;
  private final BodyMemory responseMemory;
  private final CallerListener callerListener;
  private final PageListener readinessListener;
  private final Optional<PageListener> operatorListener;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final ServerGate serverGate;
  private final ControlClient controlClient;
  private final PeerGossip gossip;
  private final QuotaTask quotas;
  private final StreamOriginTask streamOrigins;
  private final ReachabilityMonitor reachability;
  private final LoopMonitor loopMonitor;
  private final List<Runnable> sweepTasks = new ArrayList<>();
  private int sweepCount;
  private boolean draining;
  private boolean refusingRequests;

  /**
   * Creates a gateway that does not listen before {@link #start}.
   *
   * @param settings settings of the gateway
   * @param callerProtocol decodes the metadata of requests of callers
   * @param serverProtocol encodes and decodes the metadata exchanged with servers
   * @param log the event log
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
    quarantineTask = new QuarantineTask(log);
    rateLimits =
        new RateLimitTask(
            Peer.id(settings.gossipAddress().getAddress()), fleet, serverProtocol, log);
    selector = new ServerSelector(settings.selector(), directory, prefixStore, configs::cacheScope);
    dispatcher = createDispatcher(settings);
    gossip = createGossip(settings);
    quotas = new QuotaTask(loop, configs, gossip, settings.quotaMargins(), log);
    gossip.addPart(quotas);
    streamOrigins = new StreamOriginTask(loop, fleet, System::nanoTime, log);
    HeadCheck headCheck = new HeadCheck(serverProtocol.identifyingHeaders());
    connectionPools =
        new ServerConnectionPools(loop, new ServerConnectionObserver(metrics, log), headCheck);
    queuedExchanges = new QueuedExchanges(dispatcher, configs);
    bodyMemory = new BodyMemory(settings.maxHeldBodyBytes());
    responseMemory = new BodyMemory(settings.maxHeldResponseBytes());
    serverGate = createServerGate(settings.gossipAddress(), serverProtocol);
    controlClient = new ControlClient(loop, serverGate, headCheck, responseMemory, log);
    loopMonitor = new LoopMonitor(loop, metrics, log);
    LoadReports loadReports = new LoadReports(serverProtocol, metrics, log);
    reachability = createReachabilityMonitor(settings.gossipAddress(), loadReports);
    ServerSpeedTask serverSpeeds = new ServerSpeedTask(selector.speedMeter(), fleet, log);
    gossip.addPart(serverSpeeds);
    GatewayComponents components =
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
            responseMemory,
            queuedExchanges,
            gossip,
            reachability,
            rateLimits,
            loadReports,
            serverSpeeds,
            quotas,
            streamOrigins,
            serverGate,
            loopMonitor,
            () -> refusingRequests);
    callerListener =
        new CallerListener(
            loop,
            settings.callerAddress(),
            configs,
            (head, body, response) -> new Exchange(components, head, body, response),
            loopMonitor,
            bodyMemory,
            metrics,
            log);
    readinessListener = new PageListener(loop, settings.readinessAddress(), this::readinessPage);
    StatePages pages = new StatePages(this, metrics);
    operatorListener =
        settings.operatorAddress().map(address -> new PageListener(loop, address, pages));
    GatewayGauges.register(
        metrics, this, bodyMemory, callerListener, quarantineTask, rateLimits.limits(), log);
  }

  /**
   * Binds all addresses and starts to serve.
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
    loopMonitor.start();
    addSuspensionListener(weightsTargets::recordSuspension);
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Makes the instance report not ready, and closes each connection after its next response. */
  public void drain() {
    draining = true;
    callerListener.drain();
  }

  /** Refuses all further requests. */
  public void refuseRequests() {
    refusingRequests = true;
  }

  /**
   * Answers all requests that are being received or processed, as the process is about to exit.
   * Those that were not sent are refused; of the others the outcome is unknown.
   */
  public void answerRequests() {
    refusingRequests = true;
    callerListener.answerAll();
  }

  /**
   * Returns the time at which callers last sent anything.
   *
   * @return the time in nanoseconds, as {@link System#nanoTime} counts
   */
  public long lastReceivedNanos() {
    return callerListener.lastReceivedNanos();
  }

  /**
   * Returns the number of connections on which a request is being received or processed, or may
   * still arrive although the caller was told to send no more.
   *
   * @return the number
   */
  public long busyConnections() {
    return callerListener.busyConnections();
  }

  /**
   * Returns the bytes held for bodies of requests.
   *
   * @return the number of bytes
   */
  public long heldRequestBytes() {
    return bodyMemory.heldBytes();
  }

  /**
   * Returns the bytes held for responses of servers.
   *
   * @return the number of bytes
   */
  public long heldResponseBytes() {
    return responseMemory.heldBytes();
  }

  /**
   * Returns how often a response of a server ended since no memory was left for it.
   *
   * @return the number of responses
   */
  public long failedResponseReservations() {
    return responseMemory.failureCount();
  }

  /** Closes all sockets and stops the event loop. */
  public void stop() {
    callerListener.stop();
    readinessListener.stop();
    operatorListener.ifPresent(PageListener::stop);
    gossip.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Returns whether this instance can serve new callers.
   *
   * @return true if a configuration and the list of servers are known and the instance does not
   *     drain
   */
  public boolean isReady() {
    return !draining && configs.current().isPresent() && fleet.hasReadList();
  }

  /**
   * Adds a task that runs with every sweep.
   *
   * @param task the task
   */
  public void addSweepTask(Runnable task) {
    sweepTasks.add(task);
  }

  /** Sends the waiting requests that a server can take; called after the servers have changed. */
  public void dispatchQueuedRequests() {
    queuedExchanges.sweep();
  }

  /**
   * Returns the event loop that the gateway runs on.
   *
   * @return the loop
   */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Returns the holder of the configuration in force.
   *
   * @return the active configuration
   */
  public ActiveConfig configs() {
    return configs;
  }

  /**
   * Returns the known backend servers.
   *
   * @return the fleet
   */
  public Fleet fleet() {
    return fleet;
  }

  /**
   * Returns the target versions of the weights.
   *
   * @return the targets
   */
  public WeightsTargets weightsTargets() {
    return weightsTargets;
  }

  /**
   * Returns the known contents of the store of shared prefixes.
   *
   * @return the view of the store
   */
  public PrefixStoreView prefixStore() {
    return prefixStore;
  }

  /**
   * Returns the known contents of the caches of engines.
   *
   * @return the directory
   */
  public PrefixDirectory prefixDirectory() {
    return directory;
  }

  /**
   * Returns what is known of the software versions at which streams have begun.
   *
   * @return the task
   */
  public StreamOriginTask streamOrigins() {
    return streamOrigins;
  }

  /**
   * Returns the quarantine of requests and parts of prompts that crash servers.
   *
   * @return the quarantine
   */
  public CrashQuarantine quarantine() {
    return quarantineTask.quarantine();
  }

  /**
   * Returns the dispatcher, which admits requests and assigns them to servers.
   *
   * @return the dispatcher
   */
  public Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Returns the client for control calls to other services and to backend servers.
   *
   * @return the client
   */
  public ControlClient controlClient() {
    return controlClient;
  }

  /**
   * Replaces the list of instances of the gateway.
   *
   * @param instances all instances, including this one
   */
  public void updatePeers(List<Peer> instances) {
    // The others do not count an instance that is not registered.
    boolean registered = instances.stream().anyMatch(peer -> peer.id().equals(gossip.ownId()));
    dispatcher.setInstanceCount(registered ? instances.size() : UnknownInstances.ASSUMED_COUNT);
    rateLimits.updateInstances(instances);
    quotas.updateInstances(instances);
    gossip.updatePeers(instances);
    selector.setAllPeersReporting(gossip.exchangesWithAllPeers());
  }

  /**
   * Returns the gossip with the other instances.
   *
   * @return the gossip task
   */
  public PeerGossip gossip() {
    return gossip;
  }

  /**
   * Adds a listener that is called on the event loop after a suspension of the machine.
   *
   * @param listener receives the duration of the suspension in nanoseconds
   */
  public void addSuspensionListener(LongConsumer listener) {
    loopMonitor.addSuspensionListener(listener);
  }

  /** Calls the listeners for suspensions at once if there was one, instead of soon. */
  public void detectSuspension() {
    loopMonitor.detectSuspension();
  }

  /**
   * Returns the times of the event loop that take pauses of the process into account.
   *
   * @return the clock of the loop
   */
  public LoopClock loopClock() {
    return loopMonitor;
  }

  /**
   * Returns the address that callers connect to.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return callerListener.address();
  }

  private Dispatcher createDispatcher(GatewaySettings settings) {
    return new Dispatcher(
        fleet,
        selector,
        weightsTargets,
        quarantineTask.quarantine(),
        rateLimits.limits(),
        settings.retryAllowance(),
        System.nanoTime());
  }

  private Page readinessPage(String path) {
    return Page.empty(isReady() ? 200 : 503);
  }

  private PeerGossip createGossip(GatewaySettings settings) {
    PeerGossip created =
        new PeerGossip(
            loop,
            settings.gossipAddress(),
            settings.selector().dataCentre(),
            fleet,
            directory,
            prefixStore,
            quarantineTask.quarantine(),
            rateLimits,
            log);
    created.addPart(new WaitingNews(dispatcher.queues()));
    quarantineTask.addListener(created.quarantineGossip());
    return created;
  }

  private ServerGate createServerGate(
      InetSocketAddress gossipAddress, ServerProtocol serverProtocol) {
    return new ServerNoticeTask(
        Peer.id(gossipAddress.getAddress()),
        fleet,
        dispatcher,
        serverProtocol,
        connectionPools,
        queuedExchanges,
        metrics,
        log);
  }

  private ReachabilityMonitor createReachabilityMonitor(
      InetSocketAddress gossipAddress, LoadReports loadReports) {
    return new ReachabilityMonitor(
        loop,
        fleet,
        configs,
        controlClient,
        connectionPools,
        quarantineTask.quarantine(),
        rateLimits,
        loadReports,
        gossip,
        log,
        metrics,
        gossipAddress);
  }

  private void sweep() {
    long now = System.nanoTime();
    for (String serverId : fleet.applyPendingRemovals(now)) {
      log.line("server_gone").with("server", serverId).with("cause", "not listed again").write();
    }
    reachability.sweep();
    quarantineTask.sweep(now);
    gossip.announceRates(now);
    quotas.sweep();
    streamOrigins.applyServers();
    queuedExchanges.sweep();
    sweepTasks.forEach(Runnable::run);
    if (++sweepCount % SWEEPS_PER_CONNECTION_SWEEP == 0) {
      callerListener.sweep();
      connectionPools.sweep(fleet.all());
      fleet.all().forEach(backend -> backend.expirePeerReports(now));
      rateLimits.sweep(now);
      controlClient.sweep();
    }
  }
}
