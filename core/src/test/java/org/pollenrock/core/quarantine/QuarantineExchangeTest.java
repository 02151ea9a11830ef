package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.quarantine.QuarantineFixture.MILLI;
import static org.pollenrock.core.quarantine.QuarantineFixture.SECOND;
import static org.pollenrock.core.quarantine.QuarantineFixture.prompt;
import static org.pollenrock.core.quarantine.QuarantineFixture.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.pollenrock.core.fleet.Backend;

/**
 * Guards against a part that crashes servers further and further, and against sound parts that are
 * refused, while instances exchange what they see in messages that are late or lost.
 */
class QuarantineExchangeTest {
  private static final long DURATION_NANOS = 60 * SECOND;
  private static final long STEP_NANOS = 20 * MILLI;
  private static final int SERVERS = 12;

  /** Time in which an observation has to reach all instances. */
  private static final long CONTACT_NANOS = 3 * SECOND;

  /** Crashes after which requests with the part count. */
  private static final int COUNTED_CRASHES = 5;

  /** Requests with the part that may reach servers after that. */
  private static final int MAX_REACHED = 3;

  private static final double LOSS = 0.2;
  private static final long[] SEND_DELAYS_NANOS = {0, 250 * MILLI, 1_000 * MILLI};
  private static final int RECIPIENTS = 3;
  private static final List<CrashSuspects> SOUND =
      List.of(prompt("a"), prompt("a", "b"), prompt("a", "b", "c"), prompt("d"));
  private static final List<CrashSuspects> BAD =
      List.of(prompt("a", "bad"), prompt("a", "bad", "b"));

  /** Something that happens at a time. */
  private record Event(long nanos, long order, Runnable action) {}

  /** Request under way at a server. */
  private record Running(Instance instance, CrashSuspects prompt) {}

  /** Server with the requests that it runs; a crashed one is replaced by one with a new id. */
  private static final class Server {
    private final Backend backend;
    private final List<Running> running = new ArrayList<>();
    private boolean crashed;

    private Server(Backend backend) {
      this.backend = backend;
    }
  }

  /** Instance that announces to all others what it observes. */
  private static final class Instance implements QuarantineListener {
    private final CrashQuarantine quarantine = new CrashQuarantine(this);
    private final Simulation simulation;

    private Instance(Simulation simulation) {
      this.simulation = simulation;
    }

    @Override
    public void struck(CrashQuarantine.Strike strike) {
      simulation.sendToAll(
          this, other -> other.quarantine.applyStrike(strike, simulation.nowNanos));
    }

    @Override
    public void cleared(long part, long nanos) {
      simulation.sendToAll(
          this, other -> other.quarantine.applyClearing(part, nanos, simulation.nowNanos));
    }

    @Override
    public void quarantined(long part, String partId) {}

    /** Tells a few instances of the quarantined parts, and learns if one of them was cleared. */
    private void announceQuarantined() {
      for (long part : quarantine.quarantinedParts(simulation.nowNanos)) {
        long sinceNanos = quarantine.quarantinedSinceNanos(part).orElseThrow();
        for (int i = 0; i < RECIPIENTS; i++) {
          Instance other = simulation.randomInstance();
          simulation.send(
              0,
              () -> {
                other.quarantine.applyQuarantine(part, sinceNanos);
                OptionalLong completed = other.quarantine.completionSince(part, sinceNanos);
                completed.ifPresent(
                    nanos ->
                        simulation.send(
                            0, () -> quarantine.applyClearing(part, nanos, simulation.nowNanos)));
              });
        }
      }
    }
  }

  /** Effect of a message at its receiver. */
  private interface Message {
    void applyAt(Instance receiver);
  }

  private static final class Simulation {
    private final Random random;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparing(Event::order));
    private final List<Instance> instances = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Long> badCrashes = new ArrayList<>();
    private final List<Long> badSends = new ArrayList<>();
    private long nowNanos;
    private long eventCount;
    private int serverCount;

    private Simulation(long seed, int instanceCount) {
      random = new Random(seed);
      for (int i = 0; i < instanceCount; i++) {
        Instance instance = new Instance(this);
        instances.add(instance);
        repeat(random.nextLong(SECOND), SECOND, instance::announceQuarantined);
      }
      for (int i = 0; i < SERVERS; i++) {
        servers.add(newServer());
      }
    }

    private Server newServer() {
      return new Server(server("s" + ++serverCount));
    }

    private Instance randomInstance() {
      return instances.get(random.nextInt(instances.size()));
    }

    private void after(long delayNanos, Runnable action) {
      events.add(new Event(nowNanos + delayNanos, eventCount++, action));
    }

    private void repeat(long delayNanos, long periodNanos, Runnable action) {
      after(
          delayNanos,
          () -> {
            action.run();
            repeat(periodNanos, periodNanos, action);
          });
    }

    private void send(long delayNanos, Runnable effect) {
      if (random.nextDouble() >= LOSS) {
        after(delayNanos + random.nextLong(40 * MILLI), effect);
      }
    }

    private void sendToAll(Instance sender, Message message) {
      for (Instance receiver : instances) {
        if (receiver != sender) {
          for (long delayNanos : SEND_DELAYS_NANOS) {
            send(delayNanos, () -> message.applyAt(receiver));
          }
        }
      }
    }

    /** Sends a request to a server, where it completes unless the server crashes before. */
    private void request(Instance instance, CrashSuspects prompt) {
      if (instance.quarantine.isQuarantined(prompt, nowNanos)) {
        return;
      }
      Server server = servers.get(random.nextInt(servers.size()));
      Running running = new Running(instance, prompt);
      server.running.add(running);
      if (BAD.contains(prompt)) {
        badSends.add(nowNanos);
        after(50 * MILLI, () -> crash(server, true));
      } else {
        after(
            100 * MILLI + random.nextLong(400 * MILLI),
            () -> {
              if (server.running.remove(running)) {
                instance.quarantine.recordCompletion(prompt, nowNanos);
              }
            });
      }
    }

    private void crash(Server server, boolean byPart) {
      if (server.crashed) {
        return;
      }
      server.crashed = true;
      if (byPart) {
        badCrashes.add(nowNanos);
      }
      for (Running running : server.running) {
        running
            .instance()
            .quarantine
            .recordBroken(server.backend, running.prompt(), nowNanos, nowNanos);
      }
      server.running.clear();
      for (Instance instance : instances) {
        after(
            random.nextLong(300 * MILLI),
            () -> instance.quarantine.recordServerEnded(server.backend, nowNanos));
      }
      servers.set(servers.indexOf(server), newServer());
    }

    private void massFailure() {
      double share = 0.3 + 0.7 * random.nextDouble();
      for (Server server : List.copyOf(servers)) {
        if (random.nextDouble() < share) {
          crash(server, false);
        }
      }
    }

    private void run(boolean withBadPart) {
      long badFromNanos = 5 * SECOND + random.nextLong(10 * SECOND);
      double badChance = 0.02 + 0.2 * random.nextDouble();
      repeat(0, STEP_NANOS, () -> step(withBadPart && nowNanos >= badFromNanos, badChance));
      repeat(
          3 * SECOND + random.nextLong(5 * SECOND),
          2 * SECOND + random.nextLong(8 * SECOND),
          this::massFailure);
      while (events.peek().nanos() < DURATION_NANOS) {
        Event event = events.poll();
        nowNanos = event.nanos();
        event.action().run();
      }
    }

    private void step(boolean bad, double badChance) {
      for (CrashSuspects prompt : SOUND) {
        request(randomInstance(), prompt);
      }
      if (bad && random.nextDouble() < badChance) {
        request(randomInstance(), BAD.get(random.nextInt(BAD.size())));
      }
      for (Instance instance : instances) {
        for (CrashSuspects prompt : SOUND) {
          assertThat(instance.quarantine.isQuarantined(prompt, nowNanos)).isFalse();
        }
      }
    }
  }

  @Property(seed = "6201", tries = 100, shrinking = ShrinkingMode.OFF)
  void onlyTheBadPartIsQuarantinedAndEverywhereInTime(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 24) int instanceCount) {
    Simulation simulation = new Simulation(seed, instanceCount);
    simulation.run(true);
    List<Long> crashes = simulation.badCrashes;
    if (crashes.size() >= COUNTED_CRASHES) {
      long fromNanos = crashes.get(COUNTED_CRASHES - 1) + CONTACT_NANOS;
      assertThat(simulation.badSends.stream().filter(nanos -> nanos > fromNanos).count())
          .isLessThanOrEqualTo(MAX_REACHED);
    }
    for (Instance instance : simulation.instances) {
      assertThat(instance.quarantine.isQuarantined(prompt("bad"), simulation.nowNanos)).isTrue();
    }
  }

  @Property(seed = "6202", tries = 100, shrinking = ShrinkingMode.OFF)
  void massFailuresAloneQuarantineNothing(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 24) int instanceCount) {
    Simulation simulation = new Simulation(seed, instanceCount);
    simulation.run(false);
    for (Instance instance : simulation.instances) {
      assertThat(instance.quarantine.quarantinedParts(simulation.nowNanos)).isEmpty();
    }
  }
}
