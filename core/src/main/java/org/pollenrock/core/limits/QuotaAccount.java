package org.pollenrock.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.route.CustomerQuota;

/** Quota of one customer at this instance, and the requests that wait for transfers. */
final class QuotaAccount {
  /** Time for which a request waits for transfers before it is refused. */
  private static final long MAX_WAIT_NANOS = 100_000_000L;

  /** Time after which an answer to a request for a transfer does not count any more. */
  private static final long REPLY_TIMEOUT_NANOS = 50_000_000L;

  /** Requests that may wait at the same time; further ones are refused. */
  private static final int MAX_WAITING = 64;

  /** Demand that an instance keeps for itself, in seconds. */
  private static final double RESERVE_SECONDS = 0.1;

  /** Demand for which an instance asks others before it arrives, in seconds. */
  private static final double AHEAD_SECONDS = 0.2;

  /** Part of the estimated balance of an instance that it is asked for, as it has demand too. */
  private static final double ASKED_PART = 0.75;

  /** Rounds of questions for one waiting request. */
  private static final int MAX_ROUNDS = 8;

  /** Maximum number of instances that are asked at the same time; each costs two datagrams. */
  private static final int MAX_ASKED = 12;

  /** Smallest part of what is missing for which an instance is asked. */
  private static final double MIN_PART = 0.05;

  private static final long MIN_PAUSE_NANOS = 50_000_000L;
  private static final long MAX_PAUSE_NANOS = 1_000_000_000L;

  /** Time after which a request may be repeated that can never be within the quota. */
  private static final long MAX_RETRY_NANOS = 60_000_000_000L;

  /** Minimum time after which a refused request may be repeated. */
  private static final long MIN_RETRY_NANOS = 100_000_000L;

  private record Waiting(QuotaRequest request, long deadlineNanos) {}

  private record Asked(InstanceId giver, double amount, double estimate, long sentNanos) {}

  private final String customer;
  private final InstanceId self;
  private final LongSupplier ids;
  private final Consumer<OutgoingQuotaMessage> output;
  private final QuotaPeers peers;
  private final DemandRate demand;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Map<Long, Asked> asked = new HashMap<>();
  private CustomerQuota quota;
  private QuotaShares shares;
  private QuotaBalance balance;
  private double lastAmount;
  private int rounds;
  private long pauseNanos;
  private long pauseEndNanos;
  private long nextAheadNanos;
  private boolean credited;

  QuotaAccount(
      String customer,
      InstanceId self,
      CustomerQuota quota,
      LongSupplier ids,
      Consumer<OutgoingQuotaMessage> output,
      long nowNanos) {
    this.customer = customer;
    this.self = self;
    this.quota = quota;
    this.ids = ids;
    this.output = output;
    peers = new QuotaPeers(self);
    demand = new DemandRate(nowNanos);
    pauseEndNanos = nowNanos;
    nextAheadNanos = nowNanos;
  }

  /** Sets how the quota is divided; once the others are known, the balance has a start credit. */
  void setShares(QuotaShares newShares, QuotaMargins margins, long nowNanos) {
    shares = newShares;
    adjust(nowNanos);
    if (!credited && !newShares.equals(QuotaShares.UNKNOWN)) {
      credited = true;
      balance.refund(margins.startCredit(quota) * newShares.fraction(self), nowNanos);
    }
  }

  /** Sets a changed quota. */
  void setQuota(CustomerQuota newQuota, long nowNanos) {
    quota = newQuota;
    adjust(nowNanos);
  }

  /** Grants or refuses a request, at once or after transfers. */
  void admit(QuotaRequest request, long nowNanos) {
    demand.add(request.amount(), nowNanos);
    lastAmount = request.amount();
    if (request.amount() > quota.capacity() || waiting.size() >= MAX_WAITING) {
      request.quotaExceeded(excess(request.amount(), nowNanos));
      return;
    }
    waiting.add(new Waiting(request, nowNanos + MAX_WAIT_NANOS));
    advance(nowNanos);
  }

  /** Removes a request that waits no longer. */
  void withdraw(QuotaRequest request) {
    waiting.removeIf(entry -> entry.request() == request);
  }

  /** Returns the amount of a request that did not run. */
  void refund(double amount, long nowNanos) {
    balance.refund(amount, nowNanos);
  }

  /** Answers the request of another instance. */
  void give(InstanceId to, QuotaMessage.Request request, long nowNanos) {
    peers.recordBalance(to, 0, nowNanos);
    double reserve = demand.perSecond(nowNanos) * RESERVE_SECONDS;
    double amount = waiting.isEmpty() ? balance.give(request.amount(), reserve, nowNanos) : 0;
    output.accept(
        new OutgoingQuotaMessage(to, new QuotaMessage.Grant(customer, request.id(), amount)));
  }

  /** Takes the answer of another instance, unless it is late or was taken before. */
  void receive(InstanceId from, QuotaMessage.Grant grant, long nowNanos) {
    expireAsked(nowNanos);
    Asked question = asked.get(grant.id());
    if (question == null || !question.giver().equals(from)) {
      return;
    }
    asked.remove(grant.id());
    double amount = Math.min(grant.amount(), question.amount());
    balance.receive(amount, nowNanos);
    boolean more = amount >= question.amount();
    peers.recordBalance(from, more ? question.estimate() - amount : 0, nowNanos);
    advance(nowNanos);
  }

  /** Gives up answers and requests that are overdue. */
  void tick(long nowNanos) {
    expireAsked(nowNanos);
    while (!waiting.isEmpty() && nowNanos - waiting.peek().deadlineNanos() >= 0) {
      refuseFirst(nowNanos);
    }
    advance(nowNanos);
  }

  /** Refuses all waiting requests, since the quota has ended without them. */
  void close(long nowNanos) {
    while (!waiting.isEmpty()) {
      refuseFirst(nowNanos);
    }
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  private void adjust(long nowNanos) {
    double fraction = shares.fraction(self);
    double ratePerSecond = quota.ratePerSecond() * fraction;
    double capacity = quota.capacity() * fraction;
    if (balance == null) {
      balance = new QuotaBalance(ratePerSecond, capacity, nowNanos);
    }
    balance.adjust(ratePerSecond, capacity, nowNanos);
    peers.adjust(shares, quota.ratePerSecond(), quota.capacity());
  }

  /** Serves waiting requests in order, as far as the balance and transfers under way allow. */
  private void advance(long nowNanos) {
    while (!waiting.isEmpty()) {
      QuotaRequest first = waiting.peek().request();
      if (balance.available(nowNanos) >= first.amount()) {
        waiting.remove();
        balance.charge(first.amount(), nowNanos);
        rounds = 0;
        pauseNanos = 0;
        first.quotaGranted();
      } else if (!asked.isEmpty() || ask(nowNanos)) {
        return;
      } else {
        refuseFirst(nowNanos);
      }
    }
    askAhead(nowNanos);
  }

  /** Asks for what waiting requests lack; returns false if the others do not have that much. */
  private boolean ask(long nowNanos) {
    double missing = waitingAmount() - balance.available(nowNanos);
    double missingOfFirst = waiting.peek().request().amount() - balance.available(nowNanos);
    if (rounds == 0 && nowNanos - pauseEndNanos < 0 || rounds >= MAX_ROUNDS) {
      return false;
    }
    List<QuotaPeers.Candidate> candidates = peers.candidates(nowNanos);
    double obtainable = candidates.stream().mapToDouble(QuotaPeers.Candidate::estimate).sum();
    if (obtainable < missingOfFirst) {
      return false;
    }
    rounds++;
    return send(candidates, missing + aheadAmount(nowNanos), nowNanos);
  }

  /** Asks for what the next requests will need, if the demand is steady. */
  private void askAhead(long nowNanos) {
    double wanted = aheadAmount(nowNanos);
    double available = balance.available(nowNanos);
    if (available < wanted / 2 && asked.isEmpty() && nowNanos - nextAheadNanos >= 0) {
      nextAheadNanos = nowNanos + MIN_PAUSE_NANOS;
      send(peers.candidates(nowNanos), wanted - available, nowNanos);
    }
  }

  private double aheadAmount(long nowNanos) {
    double amount = Math.min(demand.perSecond(nowNanos), quota.ratePerSecond()) * AHEAD_SECONDS;
    return amount < lastAmount ? 0 : amount;
  }

  private boolean send(List<QuotaPeers.Candidate> candidates, double missing, long nowNanos) {
    double left = missing;
    for (QuotaPeers.Candidate candidate : candidates) {
      double amount = Math.min(left, candidate.estimate() * ASKED_PART);
      if (asked.size() >= MAX_ASKED || amount <= missing * MIN_PART) {
        break;
      }
      left -= amount;
      long id = ids.getAsLong();
      asked.put(id, new Asked(candidate.instance(), amount, candidate.estimate(), nowNanos));
      output.accept(
          new OutgoingQuotaMessage(
              candidate.instance(), new QuotaMessage.Request(customer, id, amount)));
    }
    return !asked.isEmpty();
  }

  private double waitingAmount() {
    return waiting.stream().mapToDouble(entry -> entry.request().amount()).sum();
  }

  private void expireAsked(long nowNanos) {
    Iterator<Asked> iterator = asked.values().iterator();
    while (iterator.hasNext()) {
      Asked question = iterator.next();
      if (nowNanos - question.sentNanos() >= REPLY_TIMEOUT_NANOS) {
        peers.recordSilence(question.giver(), nowNanos);
        iterator.remove();
      }
    }
  }

  private void refuseFirst(long nowNanos) {
    QuotaRequest request = waiting.remove().request();
    if (rounds > 0) {
      rounds = 0;
      pauseNanos = Math.clamp(2 * pauseNanos, MIN_PAUSE_NANOS, MAX_PAUSE_NANOS);
      pauseEndNanos = nowNanos + pauseNanos;
    }
    request.quotaExceeded(excess(request.amount(), nowNanos));
  }

  private QuotaExcess excess(double amount, long nowNanos) {
    double share = quota.ratePerSecond() * shares.fraction(self);
    return new QuotaExcess(
        balance.available(nowNanos),
        share,
        quota.ratePerSecond(),
        retryAfterNanos(amount, share, nowNanos));
  }

  // The shares of the others refill in the same time. Under more demand than the rate, returns
  // are spread over as much more time.
  private long retryAfterNanos(double amount, double share, long nowNanos) {
    if (amount > quota.capacity()) {
      return MAX_RETRY_NANOS;
    }
    double excessFactor = Math.max(1, demand.perSecond(nowNanos) / share);
    double nanos = balance.nanosUntilAvailable(amount, nowNanos) * excessFactor;
    return (long) Math.clamp(nanos, MIN_RETRY_NANOS, MAX_RETRY_NANOS);
  }
}
