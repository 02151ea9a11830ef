package org.pollenrock.bench.jmh;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.pollenrock.bench.capacity.PlacementWorkload;
import org.pollenrock.core.placement.PlacementResult;

/** Time of one placement with a filled cache index. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class PlacementBenchmark {
  private static final int DOSSIERS = 2_000;
  private static final int ENTRIES = 100_000;
  private static final long SEED = 1;

  /** Number of servers: today's size and that of one data centre at the target size. */
  @Param({"13", "725"})
  public int servers;

  private PlacementWorkload workload;

  /** Fills the cache index. */
  @Setup
  public void fill() {
    workload = new PlacementWorkload(servers, DOSSIERS, ENTRIES, SEED);
    workload.warmUp();
    workload.shuffle();
  }

  /**
   * Places one request.
   *
   * @return the result
   */
  @Benchmark
  public PlacementResult place() {
    return workload.placeNext();
  }
}
