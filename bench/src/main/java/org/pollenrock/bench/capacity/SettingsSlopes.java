package org.pollenrock.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.RequestKind;
import org.pollenrock.core.settings.ApiKeyHash;
import org.pollenrock.core.settings.EffectiveSettings;
import org.pollenrock.core.settings.LogBatch;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.core.settings.NameTable;
import org.pollenrock.core.settings.SettingsChange;
import org.pollenrock.core.settings.SettingsCodec;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.SnapshotCodec;
import org.pollenrock.core.settings.SnapshotPart;

/**
 * Measures how memory and time of the settings grow with the number of customers.
 *
 * <p>Each customer has two API keys, two callers, a weight, two limits that few others share, and a
 * value for one kind. The history remembers 256 changes. Prints bytes on the heap after a load, the
 * bytes of a snapshot, and the processor time to load it, to apply one change and to resolve the
 * effective values of a request, each with the slope of a least-squares line.
 */
public final class SettingsSlopes {
  private static final int[] SIZES = {100, 1_000, 10_000};
  private static final int CHANGES = 256;
  private static final int TIMED_CHANGES = 300;
  private static final int RESOLVES = 200_000;

  /** The median of several rounds is printed, so that a pause in one does not count. */
  private static final int ROUNDS = 9;

  private static final int COLLECTIONS = 3;
  private static final long SEED = 5120;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

  private record Point(
      int customers,
      double heapBytes,
      double snapshotBytes,
      double loadMillis,
      double changeMicros,
      double resolveNanos) {}

  private final Random random = new Random(SEED);

  private SettingsSlopes() {}

  /**
   * Runs all measurements; takes about half a minute.
   *
   * @param arguments none
   */
  public static void main(String[] arguments) {
    System.out.printf(
        "seed %d, java %s, %d rounds%n", SEED, System.getProperty("java.version"), ROUNDS);
    System.out.printf(
        "%10s %12s %12s %12s %14s %15s%n",
        "customers", "heap_bytes", "snapshot_b", "load_cpu_ms", "change_cpu_us", "resolve_cpu_ns");
    new SettingsSlopes().measure(SIZES[0]);
    Point[] points = new Point[SIZES.length];
    for (int i = 0; i < SIZES.length; i++) {
      points[i] = new SettingsSlopes().measure(SIZES[i]);
      print(points[i]);
    }
    System.out.printf(
        "%10s %12.1f %12.1f %12.5f %14.5f %15.5f%n",
        "slope",
        slope(points, Point::heapBytes),
        slope(points, Point::snapshotBytes),
        slope(points, Point::loadMillis),
        slope(points, Point::changeMicros),
        slope(points, Point::resolveNanos));
  }

  private static void print(Point point) {
    System.out.printf(
        "%10d %12.0f %12.0f %12.2f %14.1f %15.1f%n",
        point.customers(),
        point.heapBytes(),
        point.snapshotBytes(),
        point.loadMillis(),
        point.changeMicros(),
        point.resolveNanos());
  }

  private Point measure(int customers) {
    List<SnapshotPart> parts = SnapshotCodec.encode(history(customers).snapshot());
    double snapshotBytes =
        parts.stream().mapToLong(part -> SettingsCodec.encode(part).length).sum();
    double loadNanos = median(ROUNDS, () -> timeLoad(parts));
    double heapBytes = heapOfLoaded(parts);
    SettingsHistory loaded = load(parts);
    double changeNanos = median(TIMED_CHANGES, () -> timeChange(loaded, customers));
    double resolveNanos = median(ROUNDS, () -> timeResolve(loaded, customers) / RESOLVES);
    return new Point(
        customers,
        heapBytes,
        snapshotBytes,
        loadNanos / NANOS_PER_MILLI,
        changeNanos / NANOS_PER_MICRO,
        resolveNanos);
  }

  /** Publishes the customers in records of a bounded size, then changes some of them. */
  private SettingsHistory history(int customers) {
    SettingsHistory history = new SettingsHistory();
    apply(history, put("kinds", branch(Map.of("short", branch(Map.of("weight", text("2")))))));
    for (int from = 0; from < customers; from += 500) {
      SettingsEdit[] edits = new SettingsEdit[Math.min(500, customers - from)];
      for (int i = 0; i < edits.length; i++) {
        edits[i] = put("customers/" + name(from + i), customer(from + i));
      }
      apply(history, edits);
    }
    for (int i = 0; i < CHANGES; i++) {
      apply(history, change(customers));
    }
    return history;
  }

  private static String name(int customer) {
    return "customer-" + customer;
  }

  private SettingsNode customer(int number) {
    SettingsNode limits =
        branch(
            Map.of(
                "burst", text(Integer.toString(1 + random.nextInt(1_000))),
                "requests-per-second", text(Integer.toString(1 + random.nextInt(1_000)))));
    SettingsNode keys =
        branch(
            Map.of(
                ApiKeyHash.ofKey("a" + number).toString(), text("web"),
                ApiKeyHash.ofKey("b" + number).toString(), text("batch")));
    SettingsNode kinds = branch(Map.of("short", branch(Map.of("deadline", text("3s")))));
    SettingsNode callers =
        branch(
            Map.of(
                "web", SettingsNode.Branch.EMPTY, "batch", branch(Map.of("weight", text("0.2")))));
    return branch(
        Map.of(
            "weight", text(Integer.toString(1 + random.nextInt(4))),
            "limits", limits,
            "api-keys", keys,
            "kinds", kinds,
            "callers", callers));
  }

  private SettingsEdit change(int customers) {
    String path = "customers/" + name(random.nextInt(customers)) + "/limits/burst";
    return put(path, text(Integer.toString(1 + random.nextInt(1_000))));
  }

  private void apply(SettingsHistory history, SettingsEdit... edits) {
    apply(history, encoded(history, edits));
  }

  private static void apply(SettingsHistory history, LogRecord entry) {
    long revision = history.revision();
    history.apply(new LogBatch(entry.offset(), entry.offset() + 1, List.of(entry)));
    if (history.revision() == revision) {
      throw new IllegalStateException("a change was refused");
    }
  }

  private LogRecord encoded(SettingsHistory history, SettingsEdit... edits) {
    UUID id = new UUID(random.nextLong(), random.nextLong());
    SettingsChange change = new SettingsChange(id, "operator", history.next() - 1, List.of(edits));
    return new LogRecord(history.next(), 0, SettingsCodec.encode(change));
  }

  private static SettingsEdit put(String path, SettingsNode value) {
    return new SettingsEdit.Put(SettingsPath.parse(path), value);
  }

  private static SettingsNode text(String value) {
    return new SettingsNode.Text(value);
  }

  private static SettingsNode branch(Map<String, SettingsNode> entries) {
    return new SettingsNode.Branch(NameTable.copyOf(new TreeMap<>(entries)));
  }

  private static SettingsHistory load(List<SnapshotPart> parts) {
    SettingsHistory history = new SettingsHistory();
    history.install(SnapshotCodec.decode(parts).orElseThrow());
    return history;
  }

  private static double timeLoad(List<SnapshotPart> parts) {
    long start = cpuNanos();
    SettingsHistory history = load(parts);
    long nanos = cpuNanos() - start;
    Reference.reachabilityFence(history);
    return nanos;
  }

  private double timeChange(SettingsHistory history, int customers) {
    LogRecord entry = encoded(history, change(customers));
    long start = cpuNanos();
    apply(history, entry);
    return cpuNanos() - start;
  }

  private static double timeResolve(SettingsHistory history, int customers) {
    Optional<CallerId> caller = Optional.of(new CallerId("web"));
    Optional<RequestKind> kind = Optional.of(new RequestKind("short"));
    CustomerId[] ids = new CustomerId[customers];
    Arrays.setAll(ids, number -> new CustomerId(name(number)));
    long sum = 0;
    long start = cpuNanos();
    for (int i = 0; i < RESOLVES; i++) {
      Optional<CustomerId> customer = Optional.of(ids[i % customers]);
      sum += EffectiveSettings.resolve(history.tree(), customer, caller, kind).deadlineNanos();
    }
    long nanos = cpuNanos() - start;
    if (sum != RESOLVES * 3_000_000_000L) {
      throw new IllegalStateException("a deadline was not resolved");
    }
    return nanos;
  }

  /** Bytes that stay on the heap when a router has loaded a snapshot. */
  private static double heapOfLoaded(List<SnapshotPart> parts) {
    return median(
        ROUNDS,
        () -> {
          long before = usedAfterCollection();
          SettingsHistory history = load(parts);
          long after = usedAfterCollection();
          Reference.reachabilityFence(history);
          return after - before;
        });
  }

  private static long usedAfterCollection() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Processor time of this thread, which other work on the machine does not lengthen. */
  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static double median(int rounds, DoubleSupplier round) {
    double[] values = new double[rounds];
    for (int i = 0; i < rounds; i++) {
      values[i] = round.getAsDouble();
    }
    Arrays.sort(values);
    return values[rounds / 2];
  }

  private static double slope(Point[] points, ToDoubleFunction<Point> measure) {
    return LeastSquares.fit(
            Arrays.stream(points).mapToDouble(Point::customers).toArray(),
            Arrays.stream(points).mapToDouble(measure).toArray())
        .slope();
  }
}
