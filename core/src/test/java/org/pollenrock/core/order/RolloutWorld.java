package org.pollenrock.core.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Servers, and routers that take the lease from each other, under a schedule of numbers. Every
 * other server ignores fencing numbers.
 */
final class RolloutWorld {
  static final long MILLI = 1_000_000L;
  static final int SERVERS = 6;
  static final RolloutLimits LIMITS =
      new RolloutLimits(2, 0.6, 3, 20_000 * MILLI, 4_500 * MILLI, 2_500 * MILLI, 3_000 * MILLI);
  private static final long MAX_DELAY_MILLIS = 1_000;

  private final Map<BackendServerId, Server> servers = new TreeMap<>();
  private final List<RolloutPlanner> planners = List.of(new RolloutPlanner(), new RolloutPlanner());
  private final List<Delayed> messages = new ArrayList<>();
  private final List<String> breaches = new ArrayList<>();
  private long nowNanos;
  private int holder = -1;
  private long fence;
  private boolean capacityLostByFault;
  private int loads;
  private final long[] linkFreeNanos = new long[2];

  private record Delayed(long atNanos, boolean mayBeLost, Runnable effect) {}

  private static final class Server {
    private final BackendServerId id;
    private final boolean checksFencing;
    private long highestFence;
    private long incarnation = 1;
    private ServerReport.Phase phase = ServerReport.Phase.SERVING;
    private Assignment serves = assignment("v1");
    private long loadEndNanos;
    private boolean loadFails;
    private boolean lateLoad;
    private int running;
    private long drainedUntilNanos;

    private Server(int number) {
      id = new BackendServerId("server-" + number);
      checksFencing = number % 2 == 0;
    }

    private ServerReport report(long timeMillis) {
      Optional<Assignment> says =
          phase == ServerReport.Phase.EMPTY ? Optional.empty() : Optional.of(serves);
      return new ServerReport(id, new Incarnation(incarnation), timeMillis, phase, says, running);
    }
  }

  RolloutWorld() {
    for (int i = 0; i < SERVERS; i++) {
      Server server = new Server(i);
      servers.put(server.id, server);
    }
    target("v2");
    takeLease(0);
  }

  static Assignment assignment(String version) {
    return new Assignment(new ModelId("model"), new WeightsVersion(version), "serve");
  }

  List<String> breaches() {
    return breaches;
  }

  int loads() {
    return loads;
  }

  RolloutState holderState() {
    return planners.get(holder).state();
  }

  void target(String version) {
    Map<BackendServerId, Assignment> assignments = new HashMap<>();
    servers.keySet().forEach(id -> assignments.put(id, assignment(version)));
    for (int i = 0; i < planners.size(); i++) {
      accept(i, planners.get(i).target(new RolloutTarget(1, assignments, LIMITS), nowNanos), 0);
    }
  }

  void step(int number) {
    int argument = number >> 5;
    List<Server> all = List.copyOf(servers.values());
    Server server = all.get(argument % SERVERS);
    switch (number & 31) {
      case 0, 1, 2, 3 -> arrive(server);
      case 4, 5, 6, 7, 8, 9 -> server.running = Math.max(0, server.running - 1 - argument % 2);
      case 10 -> server.loadFails = argument % 4 == 0;
      case 11 -> crash(server, argument);
      case 12 -> moveLease(argument);
      case 13 -> target("v" + (2 + argument % 2));
      case 14 -> loseOrders();
      default -> report(server, argument);
    }
    advance((number % 7) * 60L, argument);
  }

  /** Without new faults and work the rollout must end. */
  void heal() {
    for (int i = 0; i < 600 && !ended(); i++) {
      for (Server server : servers.values()) {
        server.running = 0;
        server.loadFails = false;
        report(server, 0);
      }
      advance(500, 0);
    }
    if (!ended()) {
      breaches.add("rollout did not end: " + holderState());
    }
  }

  private boolean ended() {
    RolloutState.Phase phase = holderState().phase();
    return phase == RolloutState.Phase.DONE || phase == RolloutState.Phase.STOPPED;
  }

  private void arrive(Server server) {
    boolean takes = server.phase == ServerReport.Phase.SERVING;
    if (takes && server.drainedUntilNanos <= nowNanos) {
      server.running++;
    }
  }

  private void crash(Server server, int argument) {
    if (argument % 4 == 0) {
      server.incarnation++;
      server.phase = ServerReport.Phase.EMPTY;
      server.running = 0;
      capacityLostByFault = true;
    }
  }

  private void moveLease(int argument) {
    if (argument % 3 == 0) {
      accept(holder, planners.get(holder).leaseLost(nowNanos), argument);
      takeLease(1 - holder);
    }
  }

  private void takeLease(int next) {
    holder = next;
    fence++;
    accept(next, planners.get(next).leaseAcquired(new FencingNumber(fence), nowNanos), 0);
  }

  private void loseOrders() {
    messages.stream().filter(Delayed::mayBeLost).findFirst().ifPresent(messages::remove);
  }

  private void report(Server server, int argument) {
    ServerReport report = server.report(nowNanos / MILLI);
    long delay = argument % 3 * 200L;
    for (int i = 0; i < planners.size(); i++) {
      int planner = i;
      send(delay, () -> accept(planner, planners.get(planner).report(report, nowNanos), argument));
    }
  }

  private void send(long delayMillis, Runnable effect) {
    messages.add(new Delayed(nowNanos + delayMillis * MILLI, true, effect));
  }

  /** Links between routers keep the order of messages and lose none while they are up. */
  private void sendInOrder(int planner, long delayMillis, Runnable effect) {
    long at = Math.max(linkFreeNanos[planner], nowNanos + delayMillis * MILLI);
    linkFreeNanos[planner] = at;
    messages.add(new Delayed(at, false, effect));
  }

  private void accept(int planner, List<OrderDecision> decisions, int argument) {
    for (OrderDecision decision : decisions) {
      long delay = argument % MAX_DELAY_MILLIS;
      switch (decision) {
        case OrderDecision.SendOrder send -> {
          boolean veryLate = argument % 11 == 0;
          long sentNanos = nowNanos;
          send(veryLate ? 9_000 : delay, () -> deliver(planner, send.order(), sentNanos));
        }
        case OrderDecision.DrainServer drain -> {
          Server server = servers.get(drain.server());
          sendInOrder(
              planner, delay, () -> server.drainedUntilNanos = nowNanos + drain.holdNanos());
        }
        case OrderDecision.ResumeServer resume ->
            sendInOrder(planner, delay, () -> servers.get(resume.server()).drainedUntilNanos = 0);
        case OrderDecision.StateChanged changed -> {
          continue;
        }
      }
    }
  }

  private void deliver(int planner, ServerOrder order, long sentNanos) {
    Server server = servers.get(order.server());
    boolean late =
        planner != holder
            || order.fence().value() != fence
            || nowNanos - sentNanos > 2 * MAX_DELAY_MILLIS * MILLI;
    if (server.checksFencing && order.fence().value() < server.highestFence) {
      accept(planner, planners.get(planner).orderRefused(nowNanos), 0);
      return;
    }
    server.highestFence = Math.max(server.highestFence, order.fence().value());
    boolean busyWithIt =
        server.phase == ServerReport.Phase.LOADING || server.phase == ServerReport.Phase.SERVING;
    if (busyWithIt && server.serves.equals(order.assignment())) {
      return;
    }
    if (!late && server.running > 0) {
      breaches.add("graceful-stop: load of a server with requests in flight");
    }
    capacityLostByFault |= late;
    loads++;
    server.lateLoad = late;
    server.running = 0;
    server.phase = ServerReport.Phase.LOADING;
    server.serves = order.assignment();
    server.loadEndNanos = nowNanos + 2_500 * MILLI;
    check();
  }

  private void advance(long millis, int argument) {
    nowNanos += millis * MILLI;
    List<Delayed> due = messages.stream().filter(message -> message.atNanos() <= nowNanos).toList();
    messages.removeAll(due);
    due.forEach(message -> message.effect().run());
    for (Server server : servers.values()) {
      if (server.phase == ServerReport.Phase.LOADING && server.loadEndNanos <= nowNanos) {
        server.phase =
            server.loadFails ? ServerReport.Phase.LOAD_FAILED : ServerReport.Phase.SERVING;
      }
    }
    for (int i = 0; i < planners.size(); i++) {
      accept(i, planners.get(i).tick(nowNanos), argument);
    }
    check();
  }

  private void check() {
    long loading =
        servers.values().stream()
            .filter(server -> server.phase == ServerReport.Phase.LOADING && !server.lateLoad)
            .count();
    if (loading > LIMITS.maxConcurrentLoads()) {
      breaches.add(loading + " servers load at once");
    }
    long serving =
        servers.values().stream()
            .filter(server -> server.phase == ServerReport.Phase.SERVING)
            .filter(server -> server.drainedUntilNanos <= nowNanos)
            .count();
    if (!capacityLostByFault && serving < LIMITS.floorOf(SERVERS)) {
      breaches.add("capacity floor: " + serving + " servers serve");
    }
  }
}
