package org.pollenrock.bench.capacity;

import java.io.PrintStream;
import java.util.Arrays;
import org.pollenrock.core.placement.PlacementResult;

/**
 * Prints the memory of a cached-block entry and of a server, and the time of a placement, each at
 * several sizes with a least-squares line.
 *
 * <p>Memory is the used heap after collection with the object, less that without it. Run it with
 * the serial collector: G1 counts an array above half a region as whole regions. Time is the median
 * of several batches.
 */
public final class PlacementSlopes {
  private static final int[] ENTRIES = {1_000, 5_000, 10_000, 25_000, 50_000, 100_000};
  private static final int[] SERVERS = {13, 50, 100, 200, 400, 725};
  private static final int BLOCKS_PER_DOSSIER = 8;
  private static final int MEMORY_COPIES = 8;
  private static final int TIMED_DOSSIERS = 2_000;
  private static final int TIMED_ENTRIES = 100_000;
  private static final int WARM_UP_CALLS = 100_000;
  private static final int BATCHES = 15;
  private static final int CALLS_PER_BATCH = 20_000;
  private static final int COLLECTIONS = 4;
  private static final long SEED = 1;

  private final PrintStream out;
  private long consumed;

  private PlacementSlopes(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs all measurements; takes about a minute.
   *
   * @param arguments none
   */
  public static void main(String[] arguments) {
    PlacementSlopes slopes = new PlacementSlopes(System.out);
    slopes.entryMemory();
    slopes.serverMemory();
    slopes.placementTime();
    slopes.out.println("checksum " + slopes.consumed);
  }

  private void entryMemory() {
    usedBy(new PlacementWorkload[MEMORY_COPIES], SERVERS[0], TIMED_DOSSIERS, TIMED_ENTRIES);
    out.println("memory of the placer by cache entries (13 servers)");
    double[] x = new double[ENTRIES.length];
    double[] y = new double[ENTRIES.length];
    for (int point = 0; point < ENTRIES.length; point++) {
      int entries = ENTRIES[point];
      PlacementWorkload[] kept = new PlacementWorkload[MEMORY_COPIES];
      long bytes = usedBy(kept, SERVERS[0], entries / BLOCKS_PER_DOSSIER, 2 * entries);
      x[point] = kept[0].cacheEntries();
      y[point] = (double) bytes / MEMORY_COPIES;
      out.printf("  entries %,9.0f  bytes %,12.0f%n", x[point], y[point]);
    }
    print("bytes per entry", x, y);
  }

  private void serverMemory() {
    out.println("memory of the placer by servers (no cache entries)");
    double[] x = new double[SERVERS.length];
    double[] y = new double[SERVERS.length];
    for (int point = 0; point < SERVERS.length; point++) {
      PlacementWorkload[] kept = new PlacementWorkload[MEMORY_COPIES];
      x[point] = SERVERS[point];
      y[point] = (double) usedBy(kept, SERVERS[point], 1, 1_000) / MEMORY_COPIES;
      out.printf("  servers %,9.0f  bytes %,12.0f%n", x[point], y[point]);
    }
    print("bytes per server", x, y);
  }

  private long usedBy(PlacementWorkload[] kept, int servers, int dossiers, int bound) {
    long before = usedHeap();
    for (int copy = 0; copy < kept.length; copy++) {
      kept[copy] = new PlacementWorkload(servers, Math.max(1, dossiers), bound, SEED);
      kept[copy].warmUp();
      kept[copy].dropRequests();
    }
    return usedHeap() - before;
  }

  private static long usedHeap() {
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void placementTime() {
    out.printf(
        "time of a placement by servers (%,d dossiers, index bound %,d)%n",
        TIMED_DOSSIERS, TIMED_ENTRIES);
    double[] x = new double[SERVERS.length];
    double[] y = new double[SERVERS.length];
    for (int point = 0; point < SERVERS.length; point++) {
      PlacementWorkload workload =
          new PlacementWorkload(SERVERS[point], TIMED_DOSSIERS, TIMED_ENTRIES, SEED);
      workload.warmUp();
      workload.shuffle();
      x[point] = SERVERS[point];
      y[point] = medianNanos(workload);
      out.printf(
          "  servers %,6.0f  ns %,9.0f  ratio to %d servers %.2f%n",
          x[point], y[point], SERVERS[0], y[point] / y[0]);
    }
    print("ns per server", x, y);
  }

  private double medianNanos(PlacementWorkload workload) {
    run(workload, WARM_UP_CALLS);
    double[] batches = new double[BATCHES];
    for (int batch = 0; batch < BATCHES; batch++) {
      long start = System.nanoTime();
      run(workload, CALLS_PER_BATCH);
      batches[batch] = (double) (System.nanoTime() - start) / CALLS_PER_BATCH;
    }
    Arrays.sort(batches);
    return batches[BATCHES / 2];
  }

  private void run(PlacementWorkload workload, int calls) {
    for (int call = 0; call < calls; call++) {
      if (workload.placeNext() instanceof PlacementResult.Chosen chosen) {
        consumed += chosen.expectedCachedTokens();
      }
    }
  }

  private void print(String name, double[] x, double[] y) {
    LeastSquares line = LeastSquares.fit(x, y);
    out.printf("  %s %.2f (at 0: %,.0f)%n", name, line.slope(), line.intercept());
  }
}
