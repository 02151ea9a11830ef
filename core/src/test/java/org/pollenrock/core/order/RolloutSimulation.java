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
 * Simulates servers and two routers that hold the lease in turn, driven by a schedule of numbers.
 * Every second server does not check fencing numbers.
 *
 * <p>Late orders and crashes may reduce the number of serving servers below the minimum, so the
 * check of the minimum ends with the first of them.
 */
final class RolloutSimulation {
  static final long MILLI = 1_000_000L;
  static final int SERVERS = 6;
  static final RolloutLimits LIMITS =
      new RolloutLimits(2, 0.6, 3, 20_000 * MILLI, 4_500 * MILLI, 2_500 * MILLI, 3_000 * MILLI);
  private static final long MAX_DELAY_MILLIS = 1_000;

  private final Map<BackendServerId, Server> servers = new TreeMap<>();
  private final List<RolloutPlanner> planners = List.of(new RolloutPlanner(), new RolloutPlanner());
  private final List<DelayedMessage> messages = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private long nowNanos;
  private int holder = -1;
  private long fencingNumber;
  private boolean capacityLostByFault;
  private int loadCount;
  private final long[] lastDeliveryNanos = new long[2];

  /** A message that has not arrived yet. */
  private record DelayedMessage(long deliveryNanos, boolean canBeLost, Runnable action) {}

  /** A simulated server. */
  private static final class Server {
    private final BackendServerId id;
    private final boolean checksFencing;
    private long highestFencingNumber;
    private long incarnation = 1;
    private ServerReport.Phase phase = ServerReport.Phase.SERVING;
    private Assignment assignment = assignment("v1");
    private long loadEndNanos;
    private boolean loadFails;
    private boolean loadOrderedLate;
    private int runningCount;
    private long drainedUntilNanos;

    private Server(int number) {
      id = new BackendServerId("server-" + number);
      checksFencing = number % 2 == 0;
    }

    private ServerReport report(long timeMillis) {
      Optional<Assignment> reported =
          phase == ServerReport.Phase.EMPTY ? Optional.empty() : Optional.of(assignment);
      return new ServerReport(
          id, new Incarnation(incarnation), timeMillis, phase, reported, runningCount);
    }
  }

  RolloutSimulation() {
    for (int i = 0; i < SERVERS; i++) {
      Server server = new Server(i);
      servers.put(server.id, server);
    }
    setTarget("v2");
    acquireLease(0);
  }

  static Assignment assignment(String version) {
    return new Assignment(new ModelId("model"), new WeightsVersion(version), "serve");
  }

  List<String> violations() {
    return violations;
  }

  int loadCount() {
    return loadCount;
  }

  RolloutState holderState() {
    return planners.get(holder).state();
  }

  void setTarget(String version) {
    Map<BackendServerId, Assignment> assignments = new HashMap<>();
    servers.keySet().forEach(id -> assignments.put(id, assignment(version)));
    for (int i = 0; i < planners.size(); i++) {
      execute(i, planners.get(i).setTarget(new RolloutTarget(1, assignments, LIMITS), nowNanos), 0);
    }
  }

  /**
   * Performs one step. The lower 5 bits of the number select the operation, the others are its
   * argument.
   */
  void step(int number) {
    int argument = number >> 5;
    List<Server> all = List.copyOf(servers.values());
    Server server = all.get(argument % SERVERS);
    switch (number & 31) {
      case 0, 1, 2, 3 -> startRequest(server);
      case 4, 5, 6, 7, 8, 9 ->
          server.runningCount = Math.max(0, server.runningCount - 1 - argument % 2);
      case 10 -> server.loadFails = argument % 4 == 0;
      case 11 -> crash(server, argument);
      case 12 -> moveLease(argument);
      case 13 -> setTarget("v" + (2 + argument % 2));
      case 14 -> dropOldestLossyMessage();
      default -> report(server, argument);
    }
    advance((number % 7) * 60L, argument);
  }

  /** Runs without new faults and requests; records a violation if the rollout does not end. */
  void runWithoutFaults() {
    for (int i = 0; i < 600 && !hasEnded(); i++) {
      for (Server server : servers.values()) {
        server.runningCount = 0;
        server.loadFails = false;
        report(server, 0);
      }
      advance(500, 0);
    }
    if (!hasEnded()) {
      violations.add("rollout did not end: " + holderState());
    }
  }

  private boolean hasEnded() {
    RolloutState.Phase phase = holderState().phase();
    return phase == RolloutState.Phase.DONE || phase == RolloutState.Phase.STOPPED;
  }

  private void startRequest(Server server) {
    boolean serving = server.phase == ServerReport.Phase.SERVING;
    if (serving && server.drainedUntilNanos <= nowNanos) {
      server.runningCount++;
    }
  }

  private void crash(Server server, int argument) {
    if (argument % 4 == 0) {
      server.incarnation++;
      server.phase = ServerReport.Phase.EMPTY;
      server.runningCount = 0;
      capacityLostByFault = true;
    }
  }

  private void moveLease(int argument) {
    if (argument % 3 == 0) {
      execute(holder, planners.get(holder).recordLeaseLost(nowNanos), argument);
      acquireLease(1 - holder);
    }
  }

  private void acquireLease(int next) {
    holder = next;
    fencingNumber++;
    execute(
        next,
        planners.get(next).recordLeaseAcquired(new FencingNumber(fencingNumber), nowNanos),
        0);
  }

  /** Loses the oldest report or order that has not arrived. */
  private void dropOldestLossyMessage() {
    messages.stream().filter(DelayedMessage::canBeLost).findFirst().ifPresent(messages::remove);
  }

  private void report(Server server, int argument) {
    ServerReport report = server.report(nowNanos / MILLI);
    long delay = argument % 3 * 200L;
    for (int i = 0; i < planners.size(); i++) {
      int planner = i;
      send(
          delay,
          () -> execute(planner, planners.get(planner).recordReport(report, nowNanos), argument));
    }
  }

  private void send(long delayMillis, Runnable action) {
    messages.add(new DelayedMessage(nowNanos + delayMillis * MILLI, true, action));
  }

  /** Sends a message between routers, which arrives after all earlier ones and is never lost. */
  private void sendInOrder(int planner, long delayMillis, Runnable action) {
    long deliveryNanos = Math.max(lastDeliveryNanos[planner], nowNanos + delayMillis * MILLI);
    lastDeliveryNanos[planner] = deliveryNanos;
    messages.add(new DelayedMessage(deliveryNanos, false, action));
  }

  /** Sends the messages for the decisions of a planner; the argument determines their delay. */
  private void execute(int planner, List<OrderDecision> decisions, int argument) {
    for (OrderDecision decision : decisions) {
      long delay = argument % MAX_DELAY_MILLIS;
      switch (decision) {
        case OrderDecision.SendOrder send -> {
          boolean veryLate = argument % 11 == 0;
          long sentNanos = nowNanos;
          send(veryLate ? 9_000 : delay, () -> deliverOrder(planner, send.order(), sentNanos));
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

  /**
   * Delivers an order to its server. An order is late if its lease is no longer held or if it took
   * more than twice the usual maximum delay; the effects of a late order are no violations.
   */
  private void deliverOrder(int planner, ServerOrder order, long sentNanos) {
    Server server = servers.get(order.server());
    boolean late =
        planner != holder
            || order.fencingNumber().value() != fencingNumber
            || nowNanos - sentNanos > 2 * MAX_DELAY_MILLIS * MILLI;
    if (server.checksFencing && order.fencingNumber().value() < server.highestFencingNumber) {
      execute(planner, planners.get(planner).recordOrderRefusal(nowNanos), 0);
      return;
    }
    server.highestFencingNumber =
        Math.max(server.highestFencingNumber, order.fencingNumber().value());
    boolean loadingOrServing =
        server.phase == ServerReport.Phase.LOADING || server.phase == ServerReport.Phase.SERVING;
    if (loadingOrServing && server.assignment.equals(order.assignment())) {
      return;
    }
    if (!late && server.runningCount > 0) {
      violations.add("graceful-stop: a server with requests in flight was ordered to load");
    }
    capacityLostByFault |= late;
    loadCount++;
    server.loadOrderedLate = late;
    server.runningCount = 0;
    server.phase = ServerReport.Phase.LOADING;
    server.assignment = order.assignment();
    server.loadEndNanos = nowNanos + 2_500 * MILLI;
    checkInvariants();
  }

  private void advance(long millis, int argument) {
    nowNanos += millis * MILLI;
    List<DelayedMessage> due =
        messages.stream().filter(message -> message.deliveryNanos() <= nowNanos).toList();
    messages.removeAll(due);
    due.forEach(message -> message.action().run());
    for (Server server : servers.values()) {
      if (server.phase == ServerReport.Phase.LOADING && server.loadEndNanos <= nowNanos) {
        server.phase =
            server.loadFails ? ServerReport.Phase.LOAD_FAILED : ServerReport.Phase.SERVING;
      }
    }
    for (int i = 0; i < planners.size(); i++) {
      execute(i, planners.get(i).tick(nowNanos), argument);
    }
    checkInvariants();
  }

  private void checkInvariants() {
    long loading =
        servers.values().stream()
            .filter(server -> server.phase == ServerReport.Phase.LOADING && !server.loadOrderedLate)
            .count();
    if (loading > LIMITS.maxConcurrentLoads()) {
      violations.add(loading + " servers load at once");
    }
    long serving =
        servers.values().stream()
            .filter(server -> server.phase == ServerReport.Phase.SERVING)
            .filter(server -> server.drainedUntilNanos <= nowNanos)
            .count();
    if (!capacityLostByFault && serving < LIMITS.minAvailable(SERVERS)) {
      violations.add("too few servers: " + serving + " are serving");
    }
  }
}
