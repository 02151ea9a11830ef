package org.pollenrock.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.InMemoryLog;
import org.pollenrock.core.record.LogReadResult;
import org.pollenrock.core.record.Schedules;

/**
 * Guards against two routers that use one lease at the same time and against a fencing number that
 * decreases, under lost and late appends, pauses, crashes, clock drift, log outages and log
 * truncation.
 */
class LeaseScheduleTest {
  private static final int TRIES = 5_000;
  private static final long MILLI = 1_000_000L;
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(3_000 * MILLI, 300 * MILLI, 500 * MILLI, 1_000 * MILLI, 100 * MILLI);
  private static long acquisitionCount;
  private static long takeoverCount;

  /** Three routers on one log. Their clocks differ in offset and by up to two percent in rate. */
  private static final class Simulation {
    private final InMemoryLog log = new InMemoryLog(1_000_000);
    private final List<Node> nodes = new ArrayList<>();
    // Appends that reach the log after a delay, or a second time.
    private final ArrayDeque<byte[]> lateAppends = new ArrayDeque<>();
    private long nowNanos;
    private long nextIncarnation;
    private long newestFencingNumber = -1;
    private Node newestHolder;
    private boolean outage;

    private Simulation() {
      for (int i = 0; i < 3; i++) {
        nodes.add(new Node(i));
      }
    }

    /** Performs one step; the bits of the number select the action, the router and the argument. */
    private void step(int number) {
      Node node = nodes.get((number >> 5) % nodes.size());
      int argument = number >> 8;
      switch (number & 15) {
        case 0, 1, 2, 3, 4 -> node.read(argument % 8 == 0 ? 1 : 100);
        case 5, 6, 7, 8 -> node.append(argument);
        case 9, 10 -> advance((argument % 300 + 1) * MILLI);
        case 11 -> advance((argument % 40 == 0 ? 70_000 : argument % 2_000 + 1) * MILLI);
        case 12 -> node.pause(argument);
        case 13 -> node.restartSometimes(argument);
        case 14 -> appendLateOrSetOutage(argument);
        default -> truncateOrStop(node, argument);
      }
      checkInvariants();
    }

    private void advance(long nanos) {
      nowNanos += nanos;
      log.timeMillis(1_000_000 + nowNanos / MILLI);
      nodes.stream()
          .filter(Node::isRunning)
          .forEach(n -> n.processDecisions(n.holder.tick(n.localNanos())));
    }

    private void appendLateOrSetOutage(int argument) {
      outage = argument % 5 == 0;
      if (!outage && !lateAppends.isEmpty()) {
        log.append(lateAppends.remove());
      }
    }

    private void truncateOrStop(Node node, int argument) {
      if (argument % 6 == 0) {
        log.truncate(argument % 4);
      } else if (argument % 6 == 1 && node.isRunning()) {
        node.processDecisions(node.holder.stop(node.localNanos()));
        node.restart(argument / 6);
      }
    }

    private void checkInvariants() {
      List<Node> holders =
          nodes.stream().filter(n -> n.holder.fencingNumber(n.localNanos()).isPresent()).toList();
      assertThat(holders).as("routers that use the lease").hasSizeLessThanOrEqualTo(1);
      for (Node node : holders) {
        long fencingNumber = node.holder.fencingNumber(node.localNanos()).orElseThrow().value();
        assertThat(fencingNumber).as("fencing number").isGreaterThanOrEqualTo(newestFencingNumber);
        takeoverCount += node != newestHolder ? 1 : 0;
        newestFencingNumber = fencingNumber;
        newestHolder = node;
      }
    }

    private final class Node {
      private final int number;
      private LeaseHolder holder;
      private LeaseTable table;
      private long pausedUntilNanos;
      private final ArrayDeque<byte[]> pendingAppends = new ArrayDeque<>();

      private Node(int number) {
        this.number = number;
        restart(0);
      }

      private long localNanos() {
        return nowNanos + nowNanos / 100 * (number - 1) + number * 12_345L;
      }

      private boolean isRunning() {
        return pausedUntilNanos <= nowNanos;
      }

      private void restart(int argument) {
        if (argument % 2 == 0) {
          lateAppends.addAll(pendingAppends);
        }
        pendingAppends.clear();
        pausedUntilNanos = 0;
        table = new LeaseTable();
        InstanceId id = new InstanceId("router-" + number);
        LeaseOwner self = new LeaseOwner(id, new Incarnation(nextIncarnation++));
        holder = new LeaseHolder("orders", self, SETTINGS);
        processDecisions(holder.start(localNanos()));
      }

      private void restartSometimes(int argument) {
        if (argument % 3 == 0) {
          restart(argument / 3);
        }
      }

      private void pause(int argument) {
        pausedUntilNanos = nowNanos + (argument % 8 == 0 ? 600_000 : argument % 4_000) * MILLI;
      }

      private void processDecisions(List<LeaseDecision> decisions) {
        for (LeaseDecision decision : decisions) {
          if (decision instanceof LeaseDecision.AppendLease append) {
            pendingAppends.add(append.data());
          } else if (decision instanceof LeaseDecision.Acquired) {
            acquisitionCount++;
          }
        }
      }

      private void append(int argument) {
        if (pendingAppends.isEmpty() || outage || !isRunning()) {
          return;
        }
        byte[] data = pendingAppends.remove();
        switch (argument % 8) {
          case 5 -> lateAppends.add(data);
          case 6 -> {
            log.append(data);
            lateAppends.add(data);
          }
          case 7 -> pendingAppends.clear();
          default -> log.append(data);
        }
      }

      private void read(int maxRecords) {
        if (outage || !isRunning()) {
          return;
        }
        LogReadResult result = log.read(table.nextOffset(), maxRecords);
        for (LeaseTable.AppliedRecord applied : table.apply(result)) {
          processDecisions(holder.processRecord(applied, localNanos()));
        }
      }
    }
  }

  @Property(seed = "7201", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void atMostOneRouterUsesTheLease(@ForAll("schedules") List<Integer> schedule) {
    Simulation simulation = new Simulation();
    schedule.forEach(simulation::step);
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(100, 250);
  }

  @AfterContainer
  static void schedulesIncludeGrantsAndTakeovers() {
    assertThat(acquisitionCount).as("grants over all schedules").isGreaterThan(TRIES);
    assertThat(takeoverCount).as("takeovers over all schedules").isGreaterThan(TRIES / 2);
  }
}
