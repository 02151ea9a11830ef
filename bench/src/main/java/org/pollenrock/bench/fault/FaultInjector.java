package org.pollenrock.bench.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.pollenrock.bench.cluster.ServiceNode;
import org.pollenrock.bench.cluster.StandinCluster;
import org.pollenrock.bench.cluster.TestBed;
import org.pollenrock.bench.history.ServerDeparture;
import org.pollenrock.standin.engine.EngineStandin;

/** Begins faults, repeats those that consist of single events, and ends them. */
public final class FaultInjector {
  /** Interval at which {@link #repeat} is to be called while faults last, in milliseconds. */
  public static final long REPEAT_MS = 500;

  private static final Duration CRASH_DOWNTIME = Duration.ofMillis(500);
  private static final int EVENTS_LOST = 50;
  private static final int ACKNOWLEDGEMENTS_LOST = 3;
  private static final int FOREIGN_ANSWERS = 2;
  private static final double SLOWDOWN = 2.0;
  private static final String NEW_VERSION = "v2";

  private final TestBed bed;
  private final Random random;
  private final List<ServerDeparture> departures = new ArrayList<>();

  /**
   * Makes an injector.
   *
   * @param bed what the faults happen to
   * @param seed seed of the choice of victims
   */
  public FaultInjector(TestBed bed, long seed) {
    this.bed = bed;
    this.random = new Random(seed);
  }

  /**
   * Begins faults.
   *
   * @param faults which
   * @param nowNanos time from the start of the trace
   */
  public void begin(Set<FaultName> faults, long nowNanos) {
    faults.forEach(fault -> begin(fault, nowNanos));
  }

  /**
   * Repeats the faults that consist of single events.
   *
   * @param faults which
   */
  public void repeat(Set<FaultName> faults) {
    faults.forEach(this::repeat);
  }

  /**
   * Ends faults.
   *
   * @param faults which
   */
  public void end(Set<FaultName> faults) {
    faults.forEach(this::end);
  }

  /**
   * Servers that began to leave.
   *
   * @return departures so far
   */
  public List<ServerDeparture> departures() {
    return List.copyOf(departures);
  }

  private void begin(FaultName fault, long nowNanos) {
    StandinCluster cluster = bed.cluster();
    Runnable start =
        switch (fault) {
          case ENGINE_CRASH -> () -> crash(random.nextInt(cluster.engines().size()));
          case ROUTER_HERD -> () -> bed.restartDataCentre(0);
          case LOG_OUTAGE -> () -> cluster.log().outage(true);
          case CONFIG_RACE -> bed::publishConflictingChanges;
          case SILENT_CONNECTIONS -> cluster::silenceConnections;
          case PARTITION -> () -> cluster.partition(lastDataCentre(), true);
          case SERVER_LEAVES -> () -> leave(nowNanos);
          case ROUTER_STOPS -> () -> bed.restartRouter(0);
          case WEIGHTS_ROLLOUT -> () -> bed.publishWeights(NEW_VERSION);
          case LATE_ANSWERS -> () -> engines().forEach(engine -> engine.slowdown(SLOWDOWN));
          case EVENT_GAPS, LOG_LOST_ACK, HOT_SHIFT -> () -> repeat(fault);
        };
    start.run();
  }

  private void repeat(FaultName fault) {
    Runnable event =
        switch (fault) {
          case EVENT_GAPS -> () -> engines().forEach(engine -> engine.loseEvents(EVENTS_LOST));
          case LOG_LOST_ACK ->
              () -> bed.cluster().log().loseAcknowledgements(ACKNOWLEDGEMENTS_LOST);
          case LATE_ANSWERS ->
              () -> engines().forEach(engine -> engine.answerForOthers(FOREIGN_ANSWERS));
          case ENGINE_CRASH,
              ROUTER_HERD,
              HOT_SHIFT,
              LOG_OUTAGE,
              CONFIG_RACE,
              SILENT_CONNECTIONS,
              PARTITION,
              SERVER_LEAVES,
              ROUTER_STOPS,
              WEIGHTS_ROLLOUT ->
              () -> {};
        };
    event.run();
  }

  private void end(FaultName fault) {
    StandinCluster cluster = bed.cluster();
    Runnable end =
        switch (fault) {
          case LOG_OUTAGE -> () -> cluster.log().outage(false);
          case PARTITION -> () -> cluster.partition(lastDataCentre(), false);
          case LATE_ANSWERS -> () -> engines().forEach(engine -> engine.slowdown(1.0));
          case EVENT_GAPS,
              LOG_LOST_ACK,
              ENGINE_CRASH,
              ROUTER_HERD,
              HOT_SHIFT,
              CONFIG_RACE,
              SILENT_CONNECTIONS,
              SERVER_LEAVES,
              ROUTER_STOPS,
              WEIGHTS_ROLLOUT ->
              () -> {};
        };
    end.run();
  }

  private String lastDataCentre() {
    return bed.deployment().dataCentres().getLast();
  }

  private void crash(int first) {
    List<EngineStandin> engines = engines();
    engines.get(first).crash(CRASH_DOWNTIME);
    engines.get((first + 1) % engines.size()).crash(CRASH_DOWNTIME);
  }

  private void leave(long nowNanos) {
    ServiceNode<EngineStandin> node = bed.cluster().engines().getFirst();
    bed.cluster().leave(node.name());
    departures.add(new ServerDeparture(node.name(), nowNanos));
  }

  private List<EngineStandin> engines() {
    return bed.cluster().engines().stream().map(ServiceNode::server).toList();
  }
}
