package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Simulates several {@link ShareLedger}s whose clocks differ in origin and rate, and a network that
 * loses, delays, reorders and duplicates messages. Generated numbers select the simulation steps.
 */
final class LoanNetwork {
  static final long MS = 1_000_000L;
  static final ShareSettings SETTINGS =
      new ShareSettings(2_000 * MS, 100 * MS, 250 * MS, 20 * MS, 50, 64);
  static final LimitKey KEY =
      new LimitKey(LimitScope.of(new CustomerId("alpha")), LimitDimension.CONCURRENT_REQUESTS);

  /**
   * Maximum difference of a clock's rate from real time, as a fraction; the margin must cover it.
   */
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

    private Node(long limit, long clockOffsetNanos, double clockRate) {
      this.limit = limit;
      this.clockOffsetNanos = clockOffsetNanos;
      this.clockRate = clockRate;
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

  /** Starts the routers; every second one has a demand equal to the whole limit. */
  LoanNetwork(int routers, long limit) {
    this.limit = limit;
    for (int i = 0; i < routers; i++) {
      double clockRate = 1 + (i % 3 - 1) * MAX_CLOCK_DRIFT;
      nodes.add(new Node(limit, (i - 1) * 77_777 * MS, clockRate));
      start(i);
      setDemand(i, i % 2 == 0 ? limit : 0);
    }
    // A ledger lends nothing for some time after its start, so time advances beyond that period.
    now = 2 * SETTINGS.maxWithheldNanos();
  }

  private static InstanceId instanceId(int node) {
    return new InstanceId("router-" + node);
  }

  private static List<InstanceId> instanceIds(int count) {
    List<InstanceId> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(instanceId(i));
    }
    return ids;
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

  /** Runs the simulation step that the number encodes. */
  void runStep(int step) {
    int parameter = step / 16;
    int chosen = parameter % nodes.size();
    switch (step % 16) {
      case 0, 1 -> advance(parameter % 600 * MS);
      case 2, 3, 4, 5, 6 -> deliver(parameter, true);
      case 7 -> deliver(parameter, false);
      case 8 -> dropOne(parameter);
      case 9, 10 -> nodes.get(chosen).demand = demandLevel(parameter / nodes.size() % 4);
      case 11, 12, 13 -> {
        tick(chosen);
        borrow(chosen);
      }
      case 14 -> tick(chosen);
      default -> partitionBoundary = parameter % 3 == 0 ? parameter / 3 % nodes.size() : 0;
    }
  }

  /**
   * Returns the demand of a level from 0 to 3; it is 0 for half of them, so that routers can lend.
   */
  private long demandLevel(int level) {
    return limit * Math.max(0, level - 1) / 2;
  }

  void advance(long nanos) {
    now += nanos;
  }

  void setDemand(int index, long amount) {
    nodes.get(index).demand = amount;
  }

  /** Requests a loan for a router if its demand exceeds its share. */
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

  /** Sets the number of routers that one router assumes. */
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

  /**
   * Delivers a message, or drops it if a partition separates the two routers.
   *
   * @param once false if the message stays in the network and is delivered again later
   */
  private void deliver(int parameter, boolean once) {
    if (inFlight.isEmpty()) {
      return;
    }
    int index = parameter % inFlight.size();
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

  private void dropOne(int parameter) {
    if (!inFlight.isEmpty()) {
      inFlight.remove(parameter % inFlight.size());
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

  /** Returns the maximum total share, given the restarts within the last loan duration. */
  long maxTotalShare() {
    long duration = (long) (SETTINGS.loanDurationNanos() / (1 - MAX_CLOCK_DRIFT));
    long restarted = nodes.stream().filter(node -> now - node.restartNanos <= duration).count();
    long largestBase = (limit + nodes.size() - 1) / nodes.size();
    return limit + restarted * largestBase;
  }

  /** Returns the maximum real time for which a lender withholds an amount. */
  static long withheldNanos() {
    return (long) (SETTINGS.maxWithheldNanos() / (1 - MAX_CLOCK_DRIFT)) + 1;
  }

  int loanCount() {
    return nodes.stream()
        .mapToInt(node -> node.ledger.lentCount() + node.ledger.borrowedCount())
        .sum();
  }

  int grantCount() {
    return grantCount;
  }

  int requestCount() {
    return requestCount;
  }

  int size() {
    return nodes.size();
  }
}
