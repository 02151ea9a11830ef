package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * A few ledgers with clocks of unequal origin and pace, and a network that loses, delays, reorders
 * and duplicates; driven by generated numbers.
 */
final class LoanNetwork {
  static final long MS = 1_000_000L;
  static final ShareSettings SETTINGS =
      new ShareSettings(2_000 * MS, 100 * MS, 250 * MS, 20 * MS, 50, 64);
  static final LimitKey KEY =
      new LimitKey(LimitScope.of(new CustomerId("alpha")), LimitDimension.CONCURRENT_REQUESTS);

  /** Clocks differ by up to this part from real time, which the margin must cover. */
  private static final double MAX_CLOCK_DRIFT = 0.01;

  private final long limit;
  private final List<Node> nodes = new ArrayList<>();
  private final List<InFlight> inFlight = new ArrayList<>();
  private long now;
  private int partitionBoundary;
  private int grantCount;
  private int requestCount;

  private record InFlight(int from, int to, LoanMessage message) {}

  private static final class Node implements LimitUsage {
    private final long limit;
    private final long clockOffsetNanos;
    private final double clockRate;
    private ShareLedger ledger;
    private long incarnation;
    private long restartNanos = Long.MIN_VALUE / 2;
    private long demand;

    private Node(long limit, long offset, double pace) {
      this.limit = limit;
      this.clockOffsetNanos = offset;
      this.clockRate = pace;
    }

    private long clock(long now) {
      return clockOffsetNanos + (long) (now * clockRate);
    }

    @Override
    public long limit(LimitKey key) {
      return limit;
    }

    @Override
    public long demand(LimitKey key, long nowNanos) {
      return demand;
    }
  }

  /** Starts routers of which every second one needs the whole limit. */
  LoanNetwork(int routers, long limit) {
    this.limit = limit;
    for (int i = 0; i < routers; i++) {
      double pace = 1 + (i % 3 - 1) * MAX_CLOCK_DRIFT;
      nodes.add(new Node(limit, (i - 1) * 77_777 * MS, pace));
      start(i);
      setDemand(i, i % 2 == 0 ? limit : 0);
    }
    // Ledgers that have just started lend nothing.
    now = 2 * SETTINGS.maxWithheldNanos();
  }

  private static InstanceId instanceId(int node) {
    return new InstanceId("router-" + node);
  }

  private static List<InstanceId> instanceIds(int count) {
    List<InstanceId> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(instanceId(i));
    }
    return names;
  }

  private void start(int index) {
    Node node = nodes.get(index);
    node.incarnation++;
    node.ledger =
        new ShareLedger(
            instanceId(index),
            new Incarnation(node.incarnation),
            SETTINGS,
            new SplittableRandom(31 * index + node.incarnation),
            node.clock(now));
    node.ledger.setRouters(instanceIds(Math.max(nodes.size(), index + 1)));
    if (nodes.size() > index) {
      nodes.forEach(known -> known.ledger.setRouters(instanceIds(nodes.size())));
    }
  }

  void runStep(int step) {
    int argument = step / 16;
    int chosen = argument % nodes.size();
    switch (step % 16) {
      case 0, 1 -> advance(argument % 600 * MS);
      case 2, 3, 4, 5, 6 -> deliver(argument, true);
      case 7 -> deliver(argument, false);
      case 8 -> dropOne(argument);
      case 9, 10 -> nodes.get(chosen).demand = demandLevel(argument / nodes.size() % 4);
      case 11, 12, 13 -> {
        tick(chosen);
        borrow(chosen);
      }
      case 14 -> tick(chosen);
      default -> partitionBoundary = argument % 3 == 0 ? argument / 3 % nodes.size() : 0;
    }
  }

  /** Half of the routers need nothing, so that there is something to lend. */
  private long demandLevel(int level) {
    return limit * Math.max(0, level - 1) / 2;
  }

  void advance(long nanos) {
    now += nanos;
  }

  void setDemand(int index, long amount) {
    nodes.get(index).demand = amount;
  }

  void borrow(int index) {
    Node node = nodes.get(index);
    long missing = node.demand - share(index);
    if (missing > 0) {
      send(index, node.ledger.borrow(KEY, missing, node, node.clock(now)));
    }
  }

  void tick(int index) {
    Node node = nodes.get(index);
    send(index, node.ledger.tick(node, node.clock(now)));
  }

  void restart(int index) {
    start(index);
    nodes.get(index).restartNanos = now;
  }

  /** Makes one router believe in a number of routers. */
  void setRouterCount(int index, int routers) {
    nodes.get(index).ledger.setRouters(instanceIds(routers));
  }

  void deliverAll() {
    while (!inFlight.isEmpty()) {
      deliver(0, true);
    }
  }

  void loseAll() {
    inFlight.clear();
  }

  private void deliver(int argument, boolean once) {
    if (inFlight.isEmpty()) {
      return;
    }
    int index = argument % inFlight.size();
    InFlight message = once ? inFlight.remove(index) : inFlight.get(index);
    if ((message.from() < partitionBoundary) != (message.to() < partitionBoundary)) {
      return;
    }
    Node node = nodes.get(message.to());
    requestCount += message.message() instanceof LoanMessage.Request ? 1 : 0;
    grantCount += message.message() instanceof LoanMessage.Grant ? 1 : 0;
    send(
        message.to(),
        node.ledger.receive(instanceId(message.from()), message.message(), node, node.clock(now)));
  }

  private void dropOne(int argument) {
    if (!inFlight.isEmpty()) {
      inFlight.remove(argument % inFlight.size());
    }
  }

  private void send(int from, List<OutgoingLoanMessage> messages) {
    for (OutgoingLoanMessage message : messages) {
      inFlight.add(
          new InFlight(from, instanceIds(nodes.size()).indexOf(message.to()), message.message()));
    }
  }

  long share(int index) {
    Node node = nodes.get(index);
    return node.ledger.share(KEY, limit, node.clock(now));
  }

  long totalShare() {
    long sum = 0;
    for (int i = 0; i < nodes.size(); i++) {
      sum += share(i);
    }
    return sum;
  }

  /** Largest sum that restarts within one loan duration allow. */
  long maxTotalShare() {
    long duration = (long) (SETTINGS.loanDurationNanos() / (1 - MAX_CLOCK_DRIFT));
    long restarted = nodes.stream().filter(node -> now - node.restartNanos <= duration).count();
    long largestBase = (limit + nodes.size() - 1) / nodes.size();
    return limit + restarted * largestBase;
  }

  /** Longest real time until an amount is no longer withheld. */
  static long withheldNanos() {
    return (long) (SETTINGS.maxWithheldNanos() / (1 - MAX_CLOCK_DRIFT)) + 1;
  }

  int loanCount() {
    return nodes.stream()
        .mapToInt(node -> node.ledger.lentCount() + node.ledger.borrowedCount())
        .sum();
  }

  int grants() {
    return grantCount;
  }

  int requests() {
    return requestCount;
  }

  int size() {
    return nodes.size();
  }
}
