package org.pollenrock.router;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pollenrock.adapters.engine.HttpEngineClient;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.plain.HttpPlainServiceClient;
import org.pollenrock.router.caller.CallerListener;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.ServerEntry;
import org.pollenrock.router.filter.AttemptIds;
import org.pollenrock.router.filter.Filters;
import org.pollenrock.router.filter.RequestPipeline;
import org.pollenrock.router.settings.RouterSettings;

/** One router: listeners, clients and tasks. Many can run in one process. */
public final class Router {
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);

  private final RouterConfig config;
  private final EventLoopGroup loops;
  private final HashedWheelTimer timer;
  private final HttpTransport transport;
  private final Decisions decisions;
  private final CallerListener callers;
  private volatile Optional<RouterSettings> settings = Optional.empty();

  /**
   * Assembles a router.
   *
   * @param config settings of the process
   */
  public Router(RouterConfig config) {
    String name = config.instance().value();
    this.config = config;
    this.loops =
        new MultiThreadIoEventLoopGroup(
            config.ioThreads(),
            new DefaultThreadFactory(name + "-io", true),
            NioIoHandler.newFactory());
    this.timer = new HashedWheelTimer(new DefaultThreadFactory(name + "-timer", true));
    this.transport = new HttpTransport(loops, timer);
    this.decisions = new Decisions(name + "-decisions", config.limits().mailboxSize());
    this.callers =
        new CallerListener(loops, config.callers(), config.limits(), pipeline(), Optional::empty);
  }

  private RequestPipeline pipeline() {
    RouterLimits limits = config.limits();
    HttpEngineClient engines =
        new HttpEngineClient(
            transport,
            new HttpEngineClient.Bounds(
                limits.maxEventBytes(),
                limits.maxEventBytes(),
                limits.maxAnswerBytes(),
                CONTROL_TIMEOUT));
    return new RequestPipeline(
        Filters.chain(
            decisions,
            engines,
            new HttpPlainServiceClient(transport, limits.maxAnswerBytes()),
            new AttemptIds(config.instance(), config.incarnation()),
            limits,
            System::nanoTime),
        () -> settings,
        System::nanoTime);
  }

  /** Starts the tasks and listens. */
  public void start() {
    decisions.start();
    callers.start();
  }

  /** Stops at once; open connections are closed. */
  public void stop() {
    callers.stop();
    decisions.stop();
    transport.close();
    timer.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Puts settings in force.
   *
   * @param accepted the settings
   */
  public void settings(RouterSettings accepted) {
    settings = Optional.of(accepted);
  }

  /**
   * Replaces the known servers.
   *
   * @param entries the servers
   */
  public void servers(List<ServerEntry> entries) {
    decisions.servers(entries);
  }

  /**
   * Where callers connect.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return callers.boundAddress();
  }
}
