package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.route.CustomerQuota;

/** Ledgers of several instances and the datagrams between them, without a network. */
final class QuotaFleet {
  static final long MS = 1_000_000L;
  static final String CUSTOMER = "alpha";

  /**
   * A granted request.
   *
   * @param nanos time of the grant
   * @param amount what it cost
   */
  record Granted(long nanos, double amount) {}

  private record Event(long nanos, long number, Runnable action) {}

  private final SplittableRandom random;
  private final QuotaMargins margins;
  private final List<InstanceId> ids = new ArrayList<>();
  private final Map<InstanceId, QuotaLedger> ledgers = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparing(Event::number));
  private final List<Granted> granted = new ArrayList<>();
  private CustomerQuota quota;
  private double lossProbability;
  private int cutBoundary;
  private double offered;
  private long eventCount;
  private long now;

  QuotaFleet(int size, CustomerQuota quota, QuotaMargins margins, long seed) {
    random = new SplittableRandom(seed);
    this.quota = quota;
    this.margins = margins;
    for (int i = 0; i < size; i++) {
      ids.add(new InstanceId("i" + i));
    }
    ids.forEach(this::start);
  }

  private void start(InstanceId id) {
    QuotaLedger ledger = new QuotaLedger(id, margins, now);
    ledger.setQuotas(Map.of(CUSTOMER, quota), now);
    ledger.setInstances(ids, now);
    ledgers.put(id, ledger);
  }

  void restart(int instance) {
    start(ids.get(instance));
  }

  void setQuota(CustomerQuota newQuota) {
    quota = newQuota;
    ledgers.values().forEach(ledger -> ledger.setQuotas(Map.of(CUSTOMER, newQuota), now));
  }

  void setLoss(double probability) {
    lossProbability = probability;
  }

  /** Cuts the instances below a number off from the others; 0 connects all. */
  void setCut(int boundary) {
    cutBoundary = boundary;
  }

  void at(long nanos, Runnable action) {
    events.add(new Event(nanos, eventCount++, action));
  }

  void runUntil(long nanos) {
    while (!events.isEmpty() && events.peek().nanos() <= nanos) {
      Event event = events.remove();
      now = event.nanos();
      event.action().run();
    }
    now = nanos;
  }

  /** Lets a request of the customer arrive now. */
  void request(int instance, double amount) {
    offered += amount;
    InstanceId id = ids.get(instance);
    QuotaLedger ledger = ledgers.get(id);
    ledger.admit(CUSTOMER, new Arrival(amount), now);
    afterCall(id, ledger);
  }

  private void tick(InstanceId id, QuotaLedger ledger) {
    if (ledgers.get(id) == ledger) {
      ledger.tick(now);
      afterCall(id, ledger);
    }
  }

  private void afterCall(InstanceId id, QuotaLedger ledger) {
    for (OutgoingQuotaMessage message : ledger.takeMessages()) {
      boolean cut = ids.indexOf(id) < cutBoundary != ids.indexOf(message.to()) < cutBoundary;
      if (!cut && random.nextDouble() >= lossProbability) {
        at(now + random.nextLong(MS, 8 * MS), () -> deliver(id, message));
      }
    }
    if (ledger.hasWaiting()) {
      at(now + 25 * MS, () -> tick(id, ledger));
    }
  }

  private void deliver(InstanceId from, OutgoingQuotaMessage message) {
    QuotaLedger ledger = ledgers.get(message.to());
    ledger.receive(from, message.message(), now);
    afterCall(message.to(), ledger);
  }

  private final class Arrival implements QuotaRequest {
    private final double amount;

    private Arrival(double amount) {
      this.amount = amount;
    }

    @Override
    public double amount() {
      return amount;
    }

    @Override
    public void quotaGranted() {
      granted.add(new Granted(now, amount));
    }

    @Override
    public void quotaExceeded(QuotaExcess excess) {}
  }

  /** Returns the largest amount that was granted within a window after a time. */
  double largestWindow(long windowNanos, long fromNanos) {
    double sum = 0;
    double largest = 0;
    int first = 0;
    for (Granted last : granted) {
      sum += last.nanos() >= fromNanos ? last.amount() : 0;
      while (granted.get(first).nanos() < last.nanos() - windowNanos) {
        Granted left = granted.get(first++);
        sum -= left.nanos() >= fromNanos ? left.amount() : 0;
      }
      largest = Math.max(largest, sum);
    }
    return largest;
  }

  double grantedAmount() {
    return granted.stream().mapToDouble(Granted::amount).sum();
  }

  double offeredAmount() {
    return offered;
  }

  long nowNanos() {
    return now;
  }
}
