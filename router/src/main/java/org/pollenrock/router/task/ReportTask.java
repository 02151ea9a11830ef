package org.pollenrock.router.task;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.adapters.engine.ServerReport;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ServerRole;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.ServerEntry;

/**
 * Reads the report of each listed server again and again, one read at a time for each; confined to
 * one event loop.
 */
public final class ReportTask {
  private final EventLoop loop;
  private final EngineClient client;
  private final Decisions decisions;
  private final long intervalNanos;
  private final Map<BackendServerId, ServerEntry> servers = new HashMap<>();
  private final Set<BackendServerId> reading = new HashSet<>();
  private volatile boolean stopped;

  /**
   * Creates the task.
   *
   * @param loop its thread
   * @param client client of engines; plain servers answer reports in the same form
   * @param decisions receives the reports
   * @param intervalNanos time between two reads of a server, in nanoseconds
   */
  public ReportTask(EventLoop loop, EngineClient client, Decisions decisions, long intervalNanos) {
    this.loop = loop;
    this.client = client;
    this.decisions = decisions;
    this.intervalNanos = intervalNanos;
  }

  /** Starts to read. */
  public void start() {
    loop.execute(this::readAll);
  }

  /** Reads no more. */
  public void stop() {
    stopped = true;
  }

  /**
   * Replaces the servers; new ones are read at once.
   *
   * @param listed the servers
   */
  public void servers(List<ServerEntry> listed) {
    loop.execute(
        () -> {
          Map<BackendServerId, ServerEntry> before = new HashMap<>(servers);
          servers.clear();
          listed.forEach(entry -> servers.put(entry.id(), entry));
          listed.stream().filter(entry -> !before.containsKey(entry.id())).forEach(this::read);
        });
  }

  /**
   * Reads one server soon.
   *
   * @param server the server
   */
  public void poke(BackendServerId server) {
    loop.execute(
        () -> {
          ServerEntry entry = servers.get(server);
          if (entry != null) {
            read(entry);
          }
        });
  }

  private void readAll() {
    if (stopped) {
      return;
    }
    List.copyOf(servers.values()).forEach(this::read);
    loop.schedule(this::readAll, intervalNanos, TimeUnit.NANOSECONDS);
  }

  private void read(ServerEntry entry) {
    if (stopped || !reading.add(entry.id())) {
      return;
    }
    client
        .report(new EngineAddress(entry.id(), entry.address()))
        .thenAccept(result -> loop.execute(() -> received(entry, result)));
  }

  private void received(ServerEntry entry, Result<ServerReport> result) {
    reading.remove(entry.id());
    boolean current = entry.equals(servers.get(entry.id()));
    if (!current || !(result instanceof Result.Success<ServerReport>(ServerReport report))) {
      return;
    }
    Incarnation incarnation = new Incarnation(report.incarnation());
    if (entry.role() == ServerRole.PLAIN_SERVER) {
      decisions.tell(state -> state.plainReport(entry.id(), incarnation, report.leaving()));
      return;
    }
    var converted = ReportConversion.toCore(entry, report);
    var work = ReportConversion.toWork(entry, report);
    decisions.tell(state -> state.engineReport(converted, work));
  }
}
