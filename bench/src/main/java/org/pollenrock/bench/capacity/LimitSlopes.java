package org.pollenrock.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.pollenrock.core.limits.AdmissionDecision;
import org.pollenrock.core.limits.AdmissionQueue;
import org.pollenrock.core.limits.AdmissionRequest;
import org.pollenrock.core.limits.AdmissionSettings;
import org.pollenrock.core.limits.LimitDecision;
import org.pollenrock.core.limits.LimitDimension;
import org.pollenrock.core.limits.LimitKey;
import org.pollenrock.core.limits.LimitScope;
import org.pollenrock.core.limits.LimitTable;
import org.pollenrock.core.limits.LimitUsage;
import org.pollenrock.core.limits.LimitValues;
import org.pollenrock.core.limits.LoanId;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.limits.ScopedLimits;
import org.pollenrock.core.limits.ShareLedger;
import org.pollenrock.core.limits.ShareSettings;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.Priority;

/**
 * Measures how memory and time of the limits grow with the number of customers.
 *
 * <p>Prints bytes per active limit entry, per loan and per queued request, and nanoseconds per
 * acquire and release and per enqueue and dequeue, each with the slope of a least-squares line.
 */
public final class LimitSlopes {
  private static final int[] SIZES = {100, 1_000, 10_000, 30_000, 100_000};
  private static final int OPERATIONS = 200_000;

  /** The median of several rounds is printed, so that a pause in one does not count. */
  private static final int ROUNDS = 7;

  private static final int WARM_UP_ROUNDS = 3;
  private static final int COLLECTIONS = 3;
  private static final long SEED = 4120;
  private static final long SECOND = 1_000_000_000L;
  private static final long LIMIT = 1_000_000;
  private static final LimitValues VALUES = new LimitValues(LIMIT, LIMIT, LIMIT, LIMIT);

  private static final LimitUsage IDLE =
      new LimitUsage() {
        @Override
        public long limit(LimitKey key) {
          return LIMIT;
        }

        @Override
        public long demand(LimitKey key, long nowNanos) {
          return 0;
        }
      };

  private final List<CustomerId> customers;

  private LimitSlopes(int largest) {
    customers = IntStream.range(0, largest).mapToObj(i -> new CustomerId("customer-" + i)).toList();
  }

  /**
   * Runs all measurements; takes about half a minute.
   *
   * @param arguments none
   */
  public static void main(String[] arguments) {
    LimitSlopes slopes = new LimitSlopes(SIZES[SIZES.length - 1]);
    System.out.printf(
        "seed %d, java %s, %d operations a round, median of %d rounds%n",
        SEED, System.getProperty("java.version"), OPERATIONS, ROUNDS);
    report("active limit entry", "bytes", slopes::bytesOfEntries);
    report("loan given", "bytes", slopes::bytesOfLoans);
    report("queued request", "bytes", slopes::bytesOfQueue);
    report("acquire + release", "ns", slopes::nanosOfAcquire);
    report("enqueue + dequeue", "ns", slopes::nanosOfQueue);
  }

  private static void report(String what, String unit, IntFunction<Double> measure) {
    boolean total = unit.equals("bytes");
    double[] values = new double[SIZES.length];
    StringBuilder each = new StringBuilder();
    // The first measurement also pays for class loading and compilation.
    measure.apply(SIZES[1]);
    for (int at = 0; at < SIZES.length; at++) {
      int size = SIZES[at];
      double value = measure.apply(size);
      values[at] = value;
      each.append(String.format("  %d: %.1f", size, total ? value / size : value));
    }
    double[] sizes = Arrays.stream(SIZES).asDoubleStream().toArray();
    LeastSquares line = LeastSquares.fit(sizes, values);
    System.out.printf("%-20s %s%s%n", what, unit, each);
    String form = total ? "%.0f + %.1f x customers %s%n" : "%.0f + %.5f x customers %s%n";
    System.out.printf("%-20s " + form, "", line.intercept(), line.slope(), unit);
  }

  private double bytesOfEntries(int size) {
    return retained(() -> activeTable(size));
  }

  private double bytesOfLoans(int size) {
    return retained(
        () -> {
          ShareSettings settings =
              new ShareSettings(2 * SECOND, SECOND / 10, SECOND / 4, SECOND / 10, 50, size);
          InstanceId borrower = new InstanceId("router-2");
          ShareLedger ledger =
              new ShareLedger(
                  new InstanceId("router-1"),
                  new Incarnation(1),
                  settings,
                  new SplittableRandom(SEED),
                  0);
          ledger.setRouters(List.of(borrower));
          for (int i = 0; i < size; i++) {
            LimitKey key =
                new LimitKey(LimitScope.of(customers.get(i)), LimitDimension.REQUEST_RATE);
            LoanId id = new LoanId(borrower, new Incarnation(1), i);
            ledger.receive(borrower, new LoanMessage.Request(id, key, 1_000, 0), IDLE, 3 * SECOND);
          }
          return requireSize(ledger, ledger.lentCount(), size);
        });
  }

  private double bytesOfQueue(int size) {
    return retained(() -> filledQueue(size));
  }

  private double nanosOfAcquire(int size) {
    LimitTable table = activeTable(size);
    List<List<ScopedLimits>> limits = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      limits.add(List.of(new ScopedLimits(LimitScope.of(customers.get(i)), VALUES)));
    }
    SplittableRandom random = new SplittableRandom(SEED);
    return medianNanos(
        () -> {
          long granted = 0;
          for (int i = 0; i < OPERATIONS; i++) {
            LimitDecision decision = table.acquire(limits.get(random.nextInt(size)), 1, SECOND);
            if (decision instanceof LimitDecision.Granted hold) {
              table.release(hold.hold(), SECOND);
              granted++;
            }
          }
          return granted;
        });
  }

  private double nanosOfQueue(int size) {
    AdmissionQueue queue = filledQueue(size);
    queue.setSlots(1);
    long[] next = {size};
    SplittableRandom random = new SplittableRandom(SEED);
    return medianNanos(
        () -> {
          long dispatched = 0;
          for (int i = 0; i < OPERATIONS; i++) {
            queue.offer(request(next[0]++, customers.get(random.nextInt(size))), 0);
            for (AdmissionDecision decision : queue.poll(0)) {
              queue.finish(decision.id(), 0);
              dispatched++;
            }
          }
          return dispatched;
        });
  }

  private LimitTable activeTable(int size) {
    LimitTable table = new LimitTable((key, limit, now) -> limit, 0);
    for (int i = 0; i < size; i++) {
      table.acquire(List.of(new ScopedLimits(LimitScope.of(customers.get(i)), VALUES)), 1, 0);
    }
    return requireSize(table, table.size(), size);
  }

  private AdmissionQueue filledQueue(int size) {
    AdmissionSettings settings = new AdmissionSettings(0, OPERATIONS, 2 * size + OPERATIONS, 1);
    AdmissionQueue queue = new AdmissionQueue(settings, 1);
    for (int i = 0; i < size; i++) {
      queue.offer(request(i, customers.get(i)), 0);
    }
    return requireSize(queue, queue.waitingCount(), size);
  }

  private static AdmissionRequest request(long id, CustomerId customer) {
    return new AdmissionRequest(id, customer, 1, Priority.BATCH, 1_000, 0, id + SECOND);
  }

  private static <T> T requireSize(T built, int actual, int expected) {
    if (actual != expected) {
      throw new IllegalStateException("built " + actual + " of " + expected);
    }
    return built;
  }

  private static double retained(Supplier<Object> build) {
    long before = usedBytes();
    Object built = build.get();
    long after = usedBytes();
    Reference.reachabilityFence(built);
    return after - before;
  }

  private static long usedBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static double medianNanos(LongSupplier round) {
    double[] nanos = new double[ROUNDS];
    for (int i = -WARM_UP_ROUNDS; i < ROUNDS; i++) {
      long start = System.nanoTime();
      long done = round.getAsLong();
      long elapsed = System.nanoTime() - start;
      if (done != OPERATIONS) {
        throw new IllegalStateException("completed " + done + " of " + OPERATIONS);
      }
      if (i >= 0) {
        nanos[i] = (double) elapsed / OPERATIONS;
      }
    }
    Arrays.sort(nanos);
    return nanos[ROUNDS / 2];
  }
}
