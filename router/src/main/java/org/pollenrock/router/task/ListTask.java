package org.pollenrock.router.task;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.adapters.list.InstanceList;
import org.pollenrock.adapters.list.InstanceListClient;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.membership.ListedRouter;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.ServerRole;
import org.pollenrock.router.decision.ServerEntry;

/** Reads the instance list again and again; confined to one event loop. */
public final class ListTask {
  private static final Logger LOG = LogManager.getLogger(ListTask.class);

  private final EventLoop loop;
  private final InstanceListClient client;
  private final long intervalNanos;
  private final Consumer<Listing> listener;
  private long version = Long.MIN_VALUE;
  private boolean available = true;
  private volatile boolean stopped;

  /**
   * What the list shows.
   *
   * @param version version of the list
   * @param servers backend servers
   * @param routers routers
   */
  public record Listing(long version, List<ServerEntry> servers, List<ListedRouter> routers) {}

  /**
   * Creates the task.
   *
   * @param loop its thread
   * @param client client of the list
   * @param intervalNanos time between two reads, in nanoseconds
   * @param listener receives the list when it changed, on the loop
   */
  public ListTask(
      EventLoop loop, InstanceListClient client, long intervalNanos, Consumer<Listing> listener) {
    this.loop = loop;
    this.client = client;
    this.intervalNanos = intervalNanos;
    this.listener = listener;
  }

  /** Starts to read. */
  public void start() {
    loop.execute(this::read);
  }

  /** Reads no more. */
  public void stop() {
    stopped = true;
  }

  private void read() {
    if (!stopped) {
      client.read().thenAccept(result -> loop.execute(() -> received(result)));
    }
  }

  private void received(Result<InstanceList> result) {
    if (stopped) {
      return;
    }
    switch (result) {
      case Result.Success<InstanceList>(InstanceList list) -> {
        noteAvailable(true, "");
        apply(list);
      }
      case Result.Failure<InstanceList>(var error) -> noteAvailable(false, error.message());
    }
    loop.schedule(this::read, intervalNanos, TimeUnit.NANOSECONDS);
  }

  /** The list lags, and an older state may be shown after a newer one: versions only grow. */
  private void apply(InstanceList list) {
    if (list.version() <= version) {
      return;
    }
    version = list.version();
    List<ServerEntry> servers = new ArrayList<>();
    List<ListedRouter> routers = new ArrayList<>();
    for (InstanceList.Entry entry : list.instances()) {
      server(entry).ifPresent(servers::add);
      router(entry).ifPresent(routers::add);
    }
    listener.accept(new Listing(version, servers, routers));
  }

  private static Optional<ServerEntry> server(InstanceList.Entry entry) {
    Optional<ServerRole> role =
        switch (String.valueOf(entry.kind())) {
          case "model-server" -> Optional.of(ServerRole.MODEL_SERVER);
          case "plain-server" -> Optional.of(ServerRole.PLAIN_SERVER);
          default -> Optional.empty();
        };
    try {
      return role.map(
          known ->
              new ServerEntry(
                  new BackendServerId(entry.id()),
                  known,
                  entry.service() == null ? "" : entry.service(),
                  new DataCentreId(entry.dataCentre()),
                  HostPort.parse(entry.address()),
                  "leaving".equals(entry.state())));
    } catch (IllegalArgumentException | NullPointerException e) {
      LOG.warn("the instance list has an unusable entry: {}", e.getMessage());
      return Optional.empty();
    }
  }

  private static Optional<ListedRouter> router(InstanceList.Entry entry) {
    boolean usable =
        "router".equals(entry.kind())
            && isNamed(entry.id())
            && isNamed(entry.address())
            && isNamed(entry.dataCentre());
    return usable
        ? Optional.of(
            new ListedRouter(
                new InstanceId(entry.id()),
                entry.address(),
                new DataCentreId(entry.dataCentre()),
                "leaving".equals(entry.state())))
        : Optional.empty();
  }

  private static boolean isNamed(String text) {
    return text != null && !text.isBlank();
  }

  private void noteAvailable(boolean now, String reason) {
    if (now != available) {
      available = now;
      LOG.info("instance list {} {}", now ? "available" : "unavailable", reason);
    }
  }
}
