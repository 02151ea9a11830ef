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
 * Guards against two routers that use one lease at once, and against a fencing number that goes
 * back, under lost and late appends, pauses, crashes, clock drift, outage and truncation.
 */
class LeaseScheduleTest {
  private static final int TRIES = 5_000;
  private static final long MILLI = 1_000_000L;
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(3_000 * MILLI, 300 * MILLI, 500 * MILLI, 1_000 * MILLI, 100 * MILLI);
  private static long acquisitions;
  private static long takeovers;

  /** Routers on one log; clocks differ in offset and by up to two percent in rate. */
  private static final class World {
    private final InMemoryLog log = new InMemoryLog(1_000_000);
    private final List<Node> nodes = new ArrayList<>();
    private final ArrayDeque<byte[]> lateAppends = new ArrayDeque<>();
    private long nowNanos;
    private long incarnations;
    private long newestFence = -1;
    private Node newestHolder;
    private boolean outage;

    private World() {
      for (int i = 0; i < 3; i++) {
        nodes.add(new Node(i));
      }
    }

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
        case 14 -> takeLateEffectOrOutage(argument);
        default -> truncateOrStop(node, argument);
      }
      check();
    }

    private void advance(long nanos) {
      nowNanos += nanos;
      log.timeMillis(1_000_000 + nowNanos / MILLI);
      nodes.stream().filter(Node::runs).forEach(n -> n.accept(n.holder.tick(n.clock())));
    }

    private void takeLateEffectOrOutage(int argument) {
      outage = argument % 5 == 0;
      if (!outage && !lateAppends.isEmpty()) {
        log.append(lateAppends.remove());
      }
    }

    private void truncateOrStop(Node node, int argument) {
      if (argument % 6 == 0) {
        log.truncate(argument % 4);
      } else if (argument % 6 == 1 && node.runs()) {
        node.accept(node.holder.stop(node.clock()));
        node.restart(argument / 6);
      }
    }

    private void check() {
      List<Node> using =
          nodes.stream().filter(n -> n.holder.fencingNumber(n.clock()).isPresent()).toList();
      assertThat(using).as("routers that use the lease").hasSizeLessThanOrEqualTo(1);
      for (Node node : using) {
        long fence = node.holder.fencingNumber(node.clock()).orElseThrow().value();
        assertThat(fence).as("fencing number").isGreaterThanOrEqualTo(newestFence);
        takeovers += node != newestHolder ? 1 : 0;
        newestFence = fence;
        newestHolder = node;
      }
    }

    private final class Node {
      private final int number;
      private LeaseHolder holder;
      private LeaseTable table;
      private long pausedUntil;
      private final ArrayDeque<byte[]> appends = new ArrayDeque<>();

      private Node(int number) {
        this.number = number;
        restart(0);
      }

      private long clock() {
        return nowNanos + nowNanos / 100 * (number - 1) + number * 12_345L;
      }

      private boolean runs() {
        return pausedUntil <= nowNanos;
      }

      private void restart(int argument) {
        if (argument % 2 == 0) {
          lateAppends.addAll(appends);
        }
        appends.clear();
        pausedUntil = 0;
        table = new LeaseTable();
        InstanceId id = new InstanceId("router-" + number);
        LeaseOwner self = new LeaseOwner(id, new Incarnation(incarnations++));
        holder = new LeaseHolder("orders", self, SETTINGS);
        accept(holder.start(clock()));
      }

      private void restartSometimes(int argument) {
        if (argument % 3 == 0) {
          restart(argument / 3);
        }
      }

      private void pause(int argument) {
        pausedUntil = nowNanos + (argument % 8 == 0 ? 600_000 : argument % 4_000) * MILLI;
      }

      private void accept(List<LeaseDecision> decisions) {
        for (LeaseDecision decision : decisions) {
          if (decision instanceof LeaseDecision.AppendLease append) {
            appends.add(append.data());
          } else if (decision instanceof LeaseDecision.Acquired) {
            acquisitions++;
          }
        }
      }

      private void append(int argument) {
        if (appends.isEmpty() || outage || !runs()) {
          return;
        }
        byte[] data = appends.remove();
        switch (argument % 8) {
          case 5 -> lateAppends.add(data);
          case 6 -> {
            log.append(data);
            lateAppends.add(data);
          }
          case 7 -> appends.clear();
          default -> log.append(data);
        }
      }

      private void read(int maximum) {
        if (outage || !runs()) {
          return;
        }
        LogReadResult read = log.read(table.nextOffset(), maximum);
        for (LeaseTable.AppliedRecord applied : table.apply(read)) {
          accept(holder.processRecord(applied, clock()));
        }
      }
    }
  }

  @Property(seed = "7201", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
  void atMostOneRouterUsesTheLease(@ForAll("schedules") List<Integer> schedule) {
    World world = new World();
    schedule.forEach(world::step);
  }

  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Schedules.ofLength(100, 250);
  }

  @AfterContainer
  static void schedulesGrantLeases() {
    assertThat(acquisitions).as("grants over all schedules").isGreaterThan(TRIES);
    assertThat(takeovers).as("takeovers over all schedules").isGreaterThan(TRIES / 2);
  }
}
