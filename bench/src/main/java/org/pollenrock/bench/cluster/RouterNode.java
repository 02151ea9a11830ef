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
  private final String name;
  private final String dataCentre;
  private final Router router;

  /**
   * Makes a router; it listens once started.
   *
   * @param place its identity and surroundings
   * @param strategy how it places requests
   * @param seed seed of its random choices
   */
  RouterNode(RouterPlace place, PlacementStrategy strategy, long seed) {
    this.name = place.name();
    this.dataCentre = place.dataCentre();
    RouterConfig config =
        new RouterConfig(
            process(place, seed),
            new Incarnation(place.incarnation()),
            place.ioThreads(),
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
   * Where the router runs.
   *
   * @return its data centre
   */
  public String dataCentre() {
    return dataCentre;
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

  /**
   * Address of the peer listener.
   *
   * @return IP number and port
   */
  public String peerAddress() {
    return text(router.peerAddress());
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

  private static ProcessSettings process(RouterPlace place, long seed) {
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
                place.name(), place.dataCentre(), place.logAddress(), place.listAddress(), seed);
    return switch (SettingsReader.readProcess(place.name() + ".yaml", yaml)) {
      case ReadResult.Valid<ProcessSettings>(ProcessSettings settings) -> settings;
      case ReadResult.Invalid<ProcessSettings>(var errors) ->
          throw new IllegalStateException("process settings are invalid: " + errors);
    };
  }
}
