package org.pollenrock.bench.cluster;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.placement.PlacementStrategy;
import org.pollenrock.router.Router;
import org.pollenrock.router.RouterConfig;
import org.pollenrock.router.RouterTimes;
import org.pollenrock.settings.ProcessSettings;
import org.pollenrock.settings.ReadResult;
import org.pollenrock.settings.SettingsReader;

/** A real router of a test bed. */
public final class RouterNode {
  private static final int IO_THREADS = 2;

  private final String name;
  private final Router router;

  /**
   * Makes a router; it listens once started.
   *
   * @param name name of the instance
   * @param incarnation number of this life
   * @param dataCentre its data centre
   * @param cluster the outside systems
   * @param strategy how it places requests
   * @param seed seed of its random choices
   */
  RouterNode(
      String name,
      long incarnation,
      String dataCentre,
      StandinCluster cluster,
      PlacementStrategy strategy,
      long seed) {
    this.name = name;
    RouterConfig config =
        new RouterConfig(
            process(name, dataCentre, cluster, seed),
            new Incarnation(incarnation),
            IO_THREADS,
            RouterTimes.defaults(),
            strategy);
    this.router = new Router(config);
  }

  /** Begins to listen. */
  void start() {
    router.start();
  }

  /** Stops at once. */
  void stop() {
    router.stop();
  }

  /**
   * Stops without interrupting a request.
   *
   * @return number of responses that had to be aborted, when the router has stopped
   */
  CompletableFuture<Integer> drain() {
    return router.drain();
  }

  /**
   * Name of the instance.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Address of the caller listener.
   *
   * @return IP number and port
   */
  public String address() {
    return text(router.callerAddress());
  }

  /**
   * Address of the operator listener.
   *
   * @return IP number and port
   */
  public String operatorAddress() {
    return text(router.operatorAddress());
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Whether the router has settings and knows its servers.
   *
   * @return true when it can serve
   */
  public boolean ready() {
    return router.ready();
  }

  /**
   * Settings revision that is in force.
   *
   * @return the revision, or empty before the first
   */
  public OptionalLong revision() {
    long revision = router.revision();
    return revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision);
  }

  private static ProcessSettings process(
      String name, String dataCentre, StandinCluster cluster, long seed) {
    String yaml =
        """
        instance: %s
        data-centre: %s
        listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
        seeds: []
        log: {address: "%s"}
        list: {address: "%s"}
        stop: {drain-delay: 500ms, hard-stop-after: 30s}
        random-seed: %d
        """
            .formatted(
                name,
                dataCentre,
                cluster.logAddress(dataCentre),
                cluster.listAddress(dataCentre),
                seed);
    return switch (SettingsReader.readProcess(name + ".yaml", yaml)) {
      case ReadResult.Valid<ProcessSettings>(ProcessSettings settings) -> settings;
      case ReadResult.Invalid<ProcessSettings>(var errors) ->
          throw new IllegalStateException("process settings are invalid: " + errors);
    };
  }
}
