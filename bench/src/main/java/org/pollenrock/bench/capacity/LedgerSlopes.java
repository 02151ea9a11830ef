package org.pollenrock.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.claim.ClaimCodec;
import org.pollenrock.core.claim.ClaimId;
import org.pollenrock.core.claim.ClaimRecord;
import org.pollenrock.core.claim.ClaimTable;
import org.pollenrock.core.claim.Digest256;
import org.pollenrock.core.lease.LeaseCodec;
import org.pollenrock.core.lease.LeaseOwner;
import org.pollenrock.core.lease.LeaseRecord;
import org.pollenrock.core.lease.LeaseTable;
import org.pollenrock.core.membership.ListedServer;
import org.pollenrock.core.membership.MembershipSettings;
import org.pollenrock.core.membership.RouterHeartbeat;
import org.pollenrock.core.membership.RouterTable;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.membership.ServerTable;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.ServerRole;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.record.LogReadResult;

/** Prints bytes and time of claims, leases and membership entries with their slopes over size. */
public final class LedgerSlopes {
  private static final int[] SIZES = {4_000, 8_000, 16_000, 32_000, 64_000};
  private static final int[] LEASE_SIZES = {500, 1_000, 2_000, 4_000, 8_000};
  private static final int[] BATCH_SIZES = {1, 2, 4, 8, 16, 64, 256};
  private static final int TYPICAL_BATCH = 8;
  private static final int OUTCOME_BODY_BYTES = 256;
  private static final int REPEATS = 7;
  private static final long WINDOW_MILLIS = 900_000;
  private static final long FUTURE_MILLIS = 60_000;
  private static final InstanceId ROUTER = new InstanceId("router-kurasini-1");
  private static final Incarnation LIFE = new Incarnation(1_800_000_000_000L);
  private static final DataCentreId SITE = new DataCentreId("kurasini");

  private LedgerSlopes() {}

  /**
   * Runs all measurements.
   *
   * @param args none are used
   */
  public static void main(String[] args) {
    printEncodedBytes();
    printBytes("claim, batches of 1", SIZES, size -> claims(size, 1, false));
    double claim = printBytes("claim", SIZES, size -> claims(size, TYPICAL_BATCH, false));
    double both =
        printBytes(
            "claim with outcome of 256 bytes", SIZES, size -> claims(size, TYPICAL_BATCH, true));
    print("bytes per outcome of 256 bytes (difference) %.0f%n", both - claim);
    printBytes("lease", LEASE_SIZES, LedgerSlopes::leases);
    printBytes("server", SIZES, LedgerSlopes::servers);
    printBytes("router", SIZES, LedgerSlopes::routers);
    printTimes("claim record decoded and applied", LedgerSlopes::timeClaims);
    printTimes("server report applied", LedgerSlopes::timeReports);
  }

  private static void printEncodedBytes() {
    for (int size : BATCH_SIZES) {
      byte[] batch = ClaimCodec.encodeBatch(ROUTER, LIFE, claimRecords(0, size, false));
      print("encoded bytes per claim, batch of %d: %.1f%n", size, (double) batch.length / size);
    }
  }

  private static double printBytes(String name, int[] sizes, IntFunction<Object> builder) {
    double[] used = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      used[i] = retainedBytes(sizes[i], builder);
    }
    LeastSquares line = LeastSquares.fit(toDoubles(sizes), used);
    print("bytes per %s: %.0f (fit %.4f)%n", name, line.slope(), line.determination());
    return line.slope();
  }

  /** Heap that one built object retains: the median over repeats, each after a collection. */
  private static double retainedBytes(int size, IntFunction<Object> builder) {
    double[] samples = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      long before = usedHeap();
      Object built = builder.apply(size);
      samples[i] = usedHeap() - before;
      if (built.hashCode() == Integer.MIN_VALUE) {
        print("kept reachable %s%n", built);
      }
    }
    return median(samples);
  }

  private static long usedHeap() {
    System.gc();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Prints the slope of the whole time over the number of applied records. */
  private static void printTimes(String name, IntFunction<IntConsumer> preparer) {
    double[] nanos = new double[SIZES.length];
    for (int i = 0; i < SIZES.length; i++) {
      nanos[i] = medianNanos(SIZES[i], preparer);
      print("nanoseconds per %s, %d records: %.0f%n", name, SIZES[i], nanos[i] / SIZES[i]);
    }
    LeastSquares line = LeastSquares.fit(toDoubles(SIZES), nanos);
    print("nanoseconds per %s, slope: %.0f (fit %.4f)%n", name, line.slope(), line.determination());
  }

  private static double medianNanos(int size, IntFunction<IntConsumer> preparer) {
    double[] samples = new double[REPEATS];
    for (int i = -REPEATS; i < REPEATS; i++) {
      IntConsumer work = preparer.apply(size);
      long start = System.nanoTime();
      work.accept(size);
      // The first repeats warm the code up and are not counted.
      samples[Math.max(i, 0)] = System.nanoTime() - start;
    }
    return median(samples);
  }

  private static IntConsumer timeClaims(int size) {
    List<byte[]> batches = batches(size, TYPICAL_BATCH, false);
    ClaimTable table = newClaimTable();
    ClaimCodec codec = new ClaimCodec();
    return ignored -> apply(table, codec, batches);
  }

  private static IntConsumer timeReports(int size) {
    ServerTable table = servers(size);
    List<ServerEvidence> reports = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      reports.add(new ServerEvidence.Report(server(i), LIFE, false));
    }
    return ignored -> reports.forEach(report -> table.observe(report, 1));
  }

  private static ClaimTable claims(int size, int batch, boolean outcomes) {
    ClaimTable table = newClaimTable();
    apply(table, new ClaimCodec(), batches(size, batch, outcomes));
    return table;
  }

  private static ClaimTable newClaimTable() {
    ClaimTable table = new ClaimTable(WINDOW_MILLIS, FUTURE_MILLIS, Long.MAX_VALUE);
    table.restart(0);
    return table;
  }

  private static void apply(ClaimTable table, ClaimCodec codec, List<byte[]> batches) {
    for (byte[] batch : batches) {
      codec.decode(batch).forEach(claimRecord -> table.apply(claimRecord, WINDOW_MILLIS));
    }
  }

  private static List<byte[]> batches(int size, int batch, boolean outcomes) {
    List<byte[]> batches = new ArrayList<>();
    for (int start = 0; start < size; start += batch) {
      List<ClaimRecord> records = claimRecords(start, batch, outcomes);
      batches.add(ClaimCodec.encodeBatch(ROUTER, LIFE, records));
    }
    return batches;
  }

  private static List<ClaimRecord> claimRecords(int start, int count, boolean outcomes) {
    List<ClaimRecord> records = new ArrayList<>();
    for (int i = start; i < start + count; i++) {
      ClaimId id = new ClaimId(ROUTER, LIFE, i);
      Digest256 key = Digest256.of(Integer.toString(i).getBytes(StandardCharsets.US_ASCII));
      records.add(new ClaimRecord.Claimed(id, key, key, WINDOW_MILLIS));
      if (outcomes) {
        CallOutcome outcome = CallOutcome.of(201, "application/json", new byte[OUTCOME_BODY_BYTES]);
        records.add(new ClaimRecord.Completed(id, key, outcome));
      }
    }
    return records;
  }

  private static LeaseTable leases(int size) {
    LeaseTable table = new LeaseTable();
    LeaseOwner owner = new LeaseOwner(ROUTER, LIFE);
    for (int i = 0; i < size; i++) {
      LeaseRecord acquire = new LeaseRecord.Acquire("orders-" + i, owner, i, 3_000);
      LogEntry entry = new LogEntry(i, 1, LeaseCodec.encode(acquire));
      table.apply(new LogReadResult(i, 0, i + 1, 1, List.of(entry)));
    }
    return table;
  }

  private static ServerTable servers(int size) {
    ServerTable table = new ServerTable(MembershipSettings.defaults());
    List<ListedServer> listed = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      String address = "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255) + ":8000";
      listed.add(new ListedServer(server(i), ServerRole.MODEL_SERVER, "", address, SITE, false));
    }
    table.applyList(1, listed, 0);
    for (int i = 0; i < size; i++) {
      table.observe(new ServerEvidence.Report(server(i), new Incarnation(i), false), 0);
    }
    return table;
  }

  private static RouterTable routers(int size) {
    RouterTable table = new RouterTable(ROUTER, SITE, 0, MembershipSettings.defaults());
    for (int i = 0; i < size; i++) {
      InstanceId id = new InstanceId("router-" + i);
      table.applyHeartbeat(new RouterHeartbeat(id, new Incarnation(i), SITE, 1, 1), 0);
    }
    return table;
  }

  private static BackendServerId server(int number) {
    return new BackendServerId("engine-" + number);
  }

  private static double median(double[] samples) {
    double[] sorted = samples.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static double[] toDoubles(int[] sizes) {
    return Arrays.stream(sizes).asDoubleStream().toArray();
  }

  private static void print(String format, Object... arguments) {
    System.out.printf(Locale.ROOT, format, arguments);
  }
}
