package org.pollenrock.bench.cluster;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.core.placement.ExpectedCostStrategy;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeDiff;
import org.pollenrock.standin.engine.PacedEngineStandin;
import org.pollenrock.standin.list.InstanceListStandin;
import org.pollenrock.standin.list.ListedInstance;
import org.pollenrock.standin.log.LogStandin;
import org.pollenrock.standin.service.PlainServiceStandin;

/** One router before stand-ins that answer at once, for measurements of the router itself. */
public final class SingleRouterBed {
  private static final Duration LOG_RETENTION = Duration.ofHours(1);
  private static final int LOG_APPENDS_PER_SECOND = 300;
  private static final int ENGINES = 4;
  private static final int PLAIN_SERVERS = 2;
  private static final int STANDIN_THREADS = 3;
  private static final int ROUTER_THREADS = 4;
  private static final long SEED = 1;

  private final Deployment deployment = Deployment.named("demo");
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          STANDIN_THREADS, new DefaultThreadFactory("standin", true), NioIoHandler.newFactory());
  private final LogStandin log =
      new LogStandin(group, System::currentTimeMillis, LOG_RETENTION, LOG_APPENDS_PER_SECOND);
  private final InstanceListStandin list = new InstanceListStandin(group, Duration.ZERO);
  private final List<PacedEngineStandin> engines;
  private final List<PlainServiceStandin> plainServers;
  private RouterNode router;

  /**
   * Makes the bed; nothing runs before it is started.
   *
   * @param tokenInterval time between two tokens of a stream
   */
  public SingleRouterBed(Duration tokenInterval) {
    this.engines = IntStream.range(0, ENGINES).mapToObj(i -> engine(tokenInterval)).toList();
    this.plainServers =
        IntStream.range(0, PLAIN_SERVERS)
            .mapToObj(i -> new PlainServiceStandin(group, plainName(i), Duration.ZERO))
            .toList();
  }

  /**
   * Starts stand-ins and router and waits until the router can serve.
   *
   * @throws InterruptedException when the thread is interrupted
   */
  public void start() throws InterruptedException {
    log.start();
    engines.forEach(PacedEngineStandin::start);
    plainServers.forEach(PlainServiceStandin::start);
    list.start();
    list.showNow(listed());
    new TreePublisher(log)
        .publish(TreeDiff.edits(SettingsTree.EMPTY, DeploymentTree.of(deployment)));
    RouterPlace place =
        new RouterPlace("router-1", 1, dataCentre(), log.address(), list.address(), ROUTER_THREADS);
    router = new RouterNode(place, new ExpectedCostStrategy(), SEED);
    router.start();
    TestBed.await(router::ready);
  }

  /** Stops router and stand-ins. */
  public void stop() {
    router.stop();
    engines.forEach(PacedEngineStandin::stop);
    plainServers.forEach(PlainServiceStandin::stop);
    list.stop();
    log.stop();
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Address of the router's caller listener.
   *
   * @return IP number and port
   */
  public String routerAddress() {
    return router.address();
  }

  /**
   * Address of one engine, for direct access.
   *
   * @return IP number and port
   */
  public String engineAddress() {
    return engines.getFirst().address();
  }

  /**
   * Path prefix of the plain service.
   *
   * @return a path without a slash at its end
   */
  public String plainPath() {
    return "/" + deployment.plainService();
  }

  private PacedEngineStandin engine(Duration tokenInterval) {
    return new PacedEngineStandin(group, Deployment.MODEL, Deployment.VERSION, tokenInterval);
  }

  private String plainName(int index) {
    return deployment.plainService() + "-" + (index + 1);
  }

  private String dataCentre() {
    return deployment.dataCentres().getFirst();
  }

  private List<ListedInstance> listed() {
    List<ListedInstance> entries = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      String address = engines.get(i).address();
      entries.add(
          new ListedInstance(
              "engine-" + (i + 1), "model-server", "", address, dataCentre(), "live"));
    }
    for (int i = 0; i < plainServers.size(); i++) {
      String address = plainServers.get(i).address();
      entries.add(
          new ListedInstance(
              plainName(i),
              "plain-server",
              deployment.plainService(),
              address,
              dataCentre(),
              "live"));
    }
    return entries;
  }
}
