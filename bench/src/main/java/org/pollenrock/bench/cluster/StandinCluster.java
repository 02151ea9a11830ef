package org.pollenrock.bench.cluster;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pollenrock.bench.history.EngineRun;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.standin.engine.EngineSettings;
import org.pollenrock.standin.engine.EngineStandin;
import org.pollenrock.standin.engine.HttpWeightLoader;
import org.pollenrock.standin.list.InstanceListStandin;
import org.pollenrock.standin.list.ListedInstance;
import org.pollenrock.standin.log.LogStandin;
import org.pollenrock.standin.net.LinkRelay;
import org.pollenrock.standin.service.Execution;
import org.pollenrock.standin.service.PlainServiceStandin;
import org.pollenrock.standin.store.KvStoreStandin;
import org.pollenrock.standin.store.WeightStoreStandin;

/**
 * The outside systems of a deployment, spread over its data centres.
 *
 * <p>Each data centre reaches the servers of the others through link relays, which add the delay
 * and can be cut, and has an instance list of its own that names them by the relays' addresses.
 */
public final class StandinCluster {
  private static final Duration LIST_LAG = Duration.ofMillis(1_500);
  private static final Duration LOG_RETENTION = Duration.ofHours(1);
  private static final int LOG_APPENDS_PER_SECOND = 300;
  private static final Duration PLAIN_CALL = Duration.ofMillis(5);
  private static final int KV_VALUES = 10_000;
  private static final int IO_THREADS = 3;

  private final Deployment deployment;
  private final EventLoopGroup group;
  private final LogStandin log;
  private final KvStoreStandin kvStore;
  private final WeightStoreStandin weightStore;
  private final HttpClient loaderClient = HttpClient.newHttpClient();
  private final List<ServiceNode<EngineStandin>> engines = new ArrayList<>();
  private final List<ServiceNode<PlainServiceStandin>> plainServers = new ArrayList<>();
  private final Map<String, InstanceListStandin> lists = new LinkedHashMap<>();
  private final Map<String, Map<String, LinkRelay>> relays = new HashMap<>();
  private final Map<String, LinkRelay> logRelays = new HashMap<>();
  private volatile List<ListedInstance> routers = List.of();
  private volatile String leaving = "";
  private final RunRecorder recorder = new RunRecorder(this::engineStandins);

  /**
   * Makes the stand-ins; they listen once started.
   *
   * @param deployment the deployment
   */
  public StandinCluster(Deployment deployment) {
    this.deployment = deployment;
    this.group =
        new MultiThreadIoEventLoopGroup(
            IO_THREADS, new DefaultThreadFactory("standin", true), NioIoHandler.newFactory());
    this.log =
        new LogStandin(group, System::currentTimeMillis, LOG_RETENTION, LOG_APPENDS_PER_SECOND);
    this.kvStore = new KvStoreStandin(group, KV_VALUES);
    this.weightStore =
        new WeightStoreStandin(group, deployment.weightLoad(), deployment.unslowedLoads());
  }

  /** Starts every stand-in and shows the servers in the instance lists. */
  public void start() {
    log.start();
    kvStore.start();
    weightStore.start();
    startEngines();
    startPlainServers();
    for (String dataCentre : deployment.dataCentres()) {
      startDataCentre(dataCentre);
    }
  }

  /** Stops every stand-in. */
  public void stop() {
    engines.forEach(node -> node.server().stop());
    plainServers.forEach(node -> node.server().stop());
    relays.values().forEach(links -> links.values().forEach(LinkRelay::stop));
    logRelays.values().forEach(LinkRelay::stop);
    lists.values().forEach(InstanceListStandin::stop);
    log.stop();
    kvStore.stop();
    weightStore.stop();
    loaderClient.close();
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Forgets what engines ran and begins a new history.
   *
   * @param startNanos monotonic time of its start
   */
  public void startHistory(long startNanos) {
    recorder.start(startNanos);
  }

  /**
   * What engines ran since the start of the history.
   *
   * @return the runs
   */
  public List<EngineRun> engineRuns() {
    return recorder.runs();
  }

  /**
   * Calls that the plain servers ran.
   *
   * @return all of them
   */
  public List<Execution> postings() {
    return plainServers.stream().flatMap(node -> node.server().executions().stream()).toList();
  }

  /**
   * Engine hits on another customer's blocks.
   *
   * @return the count over all engines
   */
  public long foreignHits() {
    return engineStandins().stream().mapToLong(EngineStandin::foreignHits).sum();
  }

  /**
   * The engines.
   *
   * @return one node a server
   */
  public List<ServiceNode<EngineStandin>> engines() {
    return List.copyOf(engines);
  }

  /**
   * The plain servers.
   *
   * @return one node a server
   */
  public List<ServiceNode<PlainServiceStandin>> plainServers() {
    return List.copyOf(plainServers);
  }

  /**
   * The log.
   *
   * @return the stand-in
   */
  public LogStandin log() {
    return log;
  }

  /**
   * The weight store.
   *
   * @return the stand-in
   */
  public WeightStoreStandin weightStore() {
    return weightStore;
  }

  /**
   * Address at which a data centre reaches the log.
   *
   * @param dataCentre the data centre
   * @return IP number and port
   */
  public String logAddress(String dataCentre) {
    return logRelays.get(dataCentre).address();
  }

  /**
   * Address of the instance list of a data centre.
   *
   * @param dataCentre the data centre
   * @return IP number and port
   */
  public String listAddress(String dataCentre) {
    return lists.get(dataCentre).address();
  }

  /**
   * The instance lists.
   *
   * @return one for each data centre
   */
  public List<InstanceListStandin> lists() {
    return List.copyOf(lists.values());
  }

  /**
   * Cuts a data centre off from the others and from the log, or joins it again.
   *
   * @param dataCentre the data centre
   * @param on true to cut
   */
  public void partition(String dataCentre, boolean on) {
    logRelays.get(dataCentre).cut(on);
    relays.forEach(
        (from, links) ->
            links.forEach(
                (server, relay) -> {
                  boolean crosses = from.equals(dataCentre) != dataCentreOf(server, dataCentre);
                  if (crosses) {
                    relay.cut(on);
                  }
                }));
  }

  /** Silences every open connection to engines, plain servers, log and lists. */
  public void silenceConnections() {
    engines.forEach(node -> node.server().silenceConnections());
    plainServers.forEach(node -> node.server().silenceConnections());
    lists.values().forEach(InstanceListStandin::silenceConnections);
    log.silenceConnections();
    relays.values().forEach(links -> links.values().forEach(LinkRelay::silenceConnections));
    logRelays.values().forEach(LinkRelay::silenceConnections);
  }

  /**
   * Shows a server as leaving in every list, after the list's lag, and makes it refuse new work.
   *
   * @param server name of the server
   */
  public void leave(String server) {
    engines.stream()
        .filter(node -> node.name().equals(server))
        .forEach(node -> node.server().leaving(true));
    leaving = server;
    lists.forEach((dataCentre, list) -> list.show(listed(dataCentre, server)));
  }

  /**
   * Shows routers in the lists, by the addresses of their peer listeners.
   *
   * @param entries the routers
   */
  public void showRouters(List<ListedInstance> entries) {
    routers = List.copyOf(entries);
    lists.forEach((dataCentre, list) -> list.showNow(listed(dataCentre, leaving)));
  }

  private boolean dataCentreOf(String server, String dataCentre) {
    return engines.stream()
            .anyMatch(node -> node.name().equals(server) && node.dataCentre().equals(dataCentre))
        || plainServers.stream()
            .anyMatch(node -> node.name().equals(server) && node.dataCentre().equals(dataCentre));
  }

  private List<EngineStandin> engineStandins() {
    return engines.stream().map(ServiceNode::server).toList();
  }

  private String dataCentre(int index) {
    return deployment.dataCentres().get(index % deployment.dataCentres().size());
  }

  private void startEngines() {
    for (int i = 0; i < deployment.modelServers(); i++) {
      EngineSettings settings =
          EngineSettings.of("engine-" + (i + 1), Deployment.MODEL, Deployment.VERSION)
              .withCacheBlocks(deployment.cacheBlocks());
      EngineStandin engine =
          new EngineStandin(
              group,
              settings,
              1 + i * 100L,
              new HttpWeightLoader(loaderClient, weightStore.address()),
              recorder::record);
      engines.add(new ServiceNode<>(settings.name(), dataCentre(i), engine));
    }
    engines.forEach(node -> node.server().start());
  }

  private void startPlainServers() {
    for (int i = 0; i < deployment.plainServers(); i++) {
      String name = deployment.plainService() + "-" + (i + 1);
      PlainServiceStandin server = new PlainServiceStandin(group, name, PLAIN_CALL);
      server.start();
      plainServers.add(new ServiceNode<>(name, dataCentre(i), server));
    }
  }

  private void startDataCentre(String dataCentre) {
    Map<String, LinkRelay> links = new HashMap<>();
    relays.put(dataCentre, links);
    for (ServiceNode<EngineStandin> node : engines) {
      links.put(node.name(), relay(dataCentre, node.dataCentre(), node.server()::address));
    }
    for (ServiceNode<PlainServiceStandin> node : plainServers) {
      links.put(node.name(), relay(dataCentre, node.dataCentre(), node.server()::address));
    }
    logRelays.put(dataCentre, relay(dataCentre, dataCentre, log::address));
    InstanceListStandin list = new InstanceListStandin(group, LIST_LAG);
    lists.put(dataCentre, list);
    list.start();
    list.showNow(listed(dataCentre, ""));
  }

  private LinkRelay relay(String from, String to, Supplier<String> target) {
    Duration delay = from.equals(to) ? Duration.ZERO : deployment.interCentreDelay();
    LinkRelay relay = new LinkRelay(group, target, delay);
    relay.start();
    return relay;
  }

  private List<ListedInstance> listed(String dataCentre, String leavingServer) {
    List<ListedInstance> entries = new ArrayList<>(routers);
    for (ServiceNode<EngineStandin> node : engines) {
      entries.add(
          new ListedInstance(
              node.name(),
              "model-server",
              "",
              relays.get(dataCentre).get(node.name()).address(),
              node.dataCentre(),
              node.name().equals(leavingServer) ? "leaving" : "live"));
    }
    for (ServiceNode<PlainServiceStandin> node : plainServers) {
      entries.add(
          new ListedInstance(
              node.name(),
              "plain-server",
              deployment.plainService(),
              relays.get(dataCentre).get(node.name()).address(),
              node.dataCentre(),
              "live"));
    }
    return entries;
  }
}
