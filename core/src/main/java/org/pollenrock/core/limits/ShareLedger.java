package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * This router's share of every limit, with loans between routers.
 *
 * <p>The base share is the limit divided by the number of routers; routers take turns in receiving
 * the remainder, so base shares add up to the limit exactly. A router that needs more asks one peer
 * at a time. The lender lowers its own share before it sends the grant and raises it only when the
 * loan was returned or has expired by its own clock plus a margin. The borrower counts the duration
 * from the moment it sent the request, which is earlier. So shares never add up to more than the
 * limit while the routers agree on their number, whichever messages are lost, late or duplicated.
 *
 * <p>Only base shares are lent, never borrowed amounts. A restarted router does not know what its
 * previous incarnation lent; it uses its base share at once but lends nothing until those loans
 * have expired, so repeated restarts do not add up: the excess is at most its base share for one
 * loan duration.
 *
 * <p>When the number of routers grows or a limit is lowered, a router may have lent more than its
 * new base share. It renews none of these loans, so the excess ends within one loan duration.
 */
public final class ShareLedger implements ShareSource {
  private static final long PERCENT = 100;

  private final InstanceId self;
  private final Incarnation incarnation;
  private final ShareSettings settings;
  private final RandomGenerator random;
  private final long lendingStartNanos;
  private final Map<LimitKey, LimitLoans> loansByLimit = new HashMap<>();
  private List<InstanceId> peers = List.of();
  private int rank;
  private long loanCounter;
  private int lentCount;
  private int borrowedCount;

  /**
   * Creates the ledger of a router that has just started and knows no other.
   *
   * @param self this router
   * @param incarnation its incarnation
   * @param settings time bounds and sizes
   * @param random chooses the peer to ask
   * @param nowNanos time now
   */
  public ShareLedger(
      InstanceId self,
      Incarnation incarnation,
      ShareSettings settings,
      RandomGenerator random,
      long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = Objects.requireNonNull(random, "random");
    this.lendingStartNanos = nowNanos + settings.maxWithheldNanos();
  }

  /**
   * Replaces the set of routers that hold the limits together.
   *
   * @param routers all routers; this one counts whether it is listed or not
   */
  public void setRouters(Collection<InstanceId> routers) {
    TreeSet<InstanceId> sorted = new TreeSet<>(routers);
    sorted.add(self);
    rank = sorted.headSet(self).size();
    sorted.remove(self);
    peers = List.copyOf(sorted);
  }

  @Override
  public long share(LimitKey key, long limit, long nowNanos) {
    long base = baseShare(key, limit);
    LimitLoans known = loansByLimit.get(key);
    if (known == null) {
      return base;
    }
    long balance = known.borrowedAmount(nowNanos) - known.lentAmount(nowNanos);
    return Math.max(0, base + balance);
  }

  /**
   * Asks a peer for a part of its share. Nothing is sent while a request for the same limit is
   * outstanding or too recent, when there is no peer, or when this router has taken the most loans
   * it may; so this may be called for every request that exceeds the share.
   *
   * @param key the limit
   * @param amount wanted amount in the unit of the limit's dimension
   * @param usage this router's limits and demand
   * @param nowNanos time now
   * @return the request, or nothing
   */
  public List<OutgoingLoanMessage> borrow(
      LimitKey key, long amount, LimitUsage usage, long nowNanos) {
    LimitLoans known = loansByLimit.computeIfAbsent(key, added -> new LimitLoans(nowNanos));
    long limit = usage.limit(key);
    long wanted = Math.min(amount, limit - share(key, limit, nowNanos));
    if (wanted <= 0
        || peers.isEmpty()
        || !known.mayRequestLoan(nowNanos)
        || borrowedCount >= settings.maxLoans()) {
      removeIfUnneeded(key, known, nowNanos);
      return List.of();
    }
    known.delayNextRequest(settings.minRequestIntervalNanos(), nowNanos);
    InstanceId lender = peers.get(random.nextInt(peers.size()));
    LoanId id = new LoanId(self, incarnation, loanCounter++);
    known.borrowed().put(id, new BorrowedLoan(lender, wanted, nowNanos));
    borrowedCount++;
    return List.of(new OutgoingLoanMessage(lender, new LoanMessage.Request(id, key, wanted, 0)));
  }

  /**
   * Takes a message from another router.
   *
   * @param from the router that sent it
   * @param message the message
   * @param usage this router's limits and demand
   * @param nowNanos time now
   * @return replies
   */
  public List<OutgoingLoanMessage> receive(
      InstanceId from, LoanMessage message, LimitUsage usage, long nowNanos) {
    return switch (message) {
      case LoanMessage.Request request -> handleRequest(from, request, usage, nowNanos);
      case LoanMessage.Grant grant -> handleGrant(from, grant, nowNanos);
      case LoanMessage.Refusal refusal -> handleRefusal(refusal, nowNanos);
      case LoanMessage.Return returned -> handleReturn(from, returned, nowNanos);
    };
  }

  /**
   * Renews the loans that are still needed, returns the others and forgets expired ones; called
   * several times per reply timeout.
   *
   * @param usage this router's limits and demand
   * @param nowNanos time now
   * @return renewals and returns
   */
  public List<OutgoingLoanMessage> tick(LimitUsage usage, long nowNanos) {
    List<OutgoingLoanMessage> out = new ArrayList<>();
    Iterator<Map.Entry<LimitKey, LimitLoans>> all = loansByLimit.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<LimitKey, LimitLoans> entry = all.next();
      dropExpiredLent(entry.getValue(), nowNanos);
      tickBorrowed(entry.getKey(), entry.getValue(), usage, nowNanos, out);
      if (entry.getValue().isRemovable(nowNanos)) {
        all.remove();
      }
    }
    return out;
  }

  /**
   * Gives all borrowed amounts back, because this router stops.
   *
   * @return the returns
   */
  public List<OutgoingLoanMessage> returnAll() {
    List<OutgoingLoanMessage> out = new ArrayList<>();
    loansByLimit.forEach(
        (key, known) -> {
          known.borrowed().forEach((id, loan) -> out.add(returnMessage(loan.lender(), id, key)));
          known.borrowed().clear();
        });
    borrowedCount = 0;
    return out;
  }

  /**
   * Number of loans given that have not been returned or forgotten.
   *
   * @return the number
   */
  public int lentCount() {
    return lentCount;
  }

  /**
   * Number of loans taken or asked for.
   *
   * @return the number
   */
  public int borrowedCount() {
    return borrowedCount;
  }

  private long baseShare(LimitKey key, long limit) {
    long routers = peers.size() + 1L;
    long turn = Math.floorMod((long) rank + key.stableHash(), routers);
    return limit / routers + (turn < limit % routers ? 1 : 0);
  }

  private List<OutgoingLoanMessage> handleRequest(
      InstanceId from, LoanMessage.Request request, LimitUsage usage, long nowNanos) {
    LimitLoans known =
        loansByLimit.computeIfAbsent(request.key(), added -> new LimitLoans(nowNanos));
    dropExpiredLent(known, nowNanos);
    LentLoan loan = known.lent().get(request.id());
    LoanMessage reply =
        loan == null
            ? lend(known, request, usage, nowNanos)
            : renew(known, loan, request, usage, nowNanos);
    removeIfUnneeded(request.key(), known, nowNanos);
    return List.of(new OutgoingLoanMessage(from, reply));
  }

  private LoanMessage lend(
      LimitLoans known, LoanMessage.Request request, LimitUsage usage, long nowNanos) {
    if (request.round() > 0) {
      return refusal(request, true);
    }
    if (nowNanos < lendingStartNanos || lentCount >= settings.maxLoans()) {
      return refusal(request, false);
    }
    long spare = unusedShare(known, request.key(), usage, nowNanos);
    long amount = Math.min(request.amount(), lendableAmount(spare));
    if (amount <= 0) {
      return refusal(request, false);
    }
    long expiresAt = nowNanos + settings.maxWithheldNanos();
    known.lent().put(request.id(), new LentLoan(amount, 0, expiresAt));
    lentCount++;
    return new LoanMessage.Grant(request.id(), request.key(), amount, 0);
  }

  private LoanMessage renew(
      LimitLoans known,
      LentLoan loan,
      LoanMessage.Request request,
      LimitUsage usage,
      long nowNanos) {
    if (request.round() > loan.round()) {
      if (unusedShare(known, request.key(), usage, nowNanos) < 0) {
        return refusal(request, false);
      }
      loan.renew(request.round(), nowNanos + settings.maxWithheldNanos());
    }
    return new LoanMessage.Grant(request.id(), request.key(), loan.amount(), request.round());
  }

  // A borrower lends nothing, so that loans do not form chains whose links expire apart.
  private long unusedShare(LimitLoans known, LimitKey key, LimitUsage usage, long nowNanos) {
    if (known.borrowedAmount(nowNanos) > 0 || known.hasPendingRequest()) {
      return -1;
    }
    long base = baseShare(key, usage.limit(key));
    return base - known.lentAmount(nowNanos) - usage.demand(key, nowNanos);
  }

  // Rounded up, so that the last unit of a small concurrency limit can be lent.
  private long lendableAmount(long spare) {
    if (spare <= 0) {
      return 0;
    }
    long whole = spare / PERCENT * settings.maxLendPercent();
    long rest = spare % PERCENT * settings.maxLendPercent();
    return whole + (rest + PERCENT - 1) / PERCENT;
  }

  private static LoanMessage refusal(LoanMessage.Request request, boolean unknown) {
    return new LoanMessage.Refusal(request.id(), request.key(), request.round(), unknown);
  }

  private List<OutgoingLoanMessage> handleGrant(
      InstanceId from, LoanMessage.Grant grant, long nowNanos) {
    LimitLoans known = loansByLimit.get(grant.key());
    BorrowedLoan loan = known == null ? null : known.borrowed().get(grant.id());
    if (loan == null) {
      // Given up before the grant arrived: the lender need not wait for it to expire.
      return List.of(returnMessage(from, grant.id(), grant.key()));
    }
    if (loan.waiting() && grant.round() == loan.round()) {
      loan.granted(grant.amount(), settings.loanDurationNanos());
    }
    return List.of();
  }

  private List<OutgoingLoanMessage> handleRefusal(LoanMessage.Refusal refusal, long nowNanos) {
    LimitLoans known = loansByLimit.get(refusal.key());
    BorrowedLoan loan = known == null ? null : known.borrowed().get(refusal.id());
    if (loan == null || refusal.round() != loan.round()) {
      return List.of();
    }
    loan.recordRefusal();
    if (refusal.loanUnknown() || !loan.granted()) {
      removeBorrowed(known, refusal.id());
      removeIfUnneeded(refusal.key(), known, nowNanos);
    }
    return List.of();
  }

  private List<OutgoingLoanMessage> handleReturn(
      InstanceId from, LoanMessage.Return returned, long nowNanos) {
    LimitLoans known = loansByLimit.get(returned.key());
    boolean own = returned.id().borrower().equals(from);
    if (known != null && own && known.lent().remove(returned.id()) != null) {
      lentCount--;
      removeIfUnneeded(returned.key(), known, nowNanos);
    }
    return List.of();
  }

  private void tickBorrowed(
      LimitKey key,
      LimitLoans known,
      LimitUsage usage,
      long nowNanos,
      List<OutgoingLoanMessage> out) {
    for (LoanId id : List.copyOf(known.borrowed().keySet())) {
      BorrowedLoan loan = known.borrowed().get(id);
      boolean replyLate = nowNanos - loan.sentAt() > settings.replyTimeoutNanos();
      if (!loan.granted()) {
        if (replyLate) {
          removeBorrowed(known, id);
        }
      } else if (!loan.isUsable(nowNanos)) {
        removeBorrowed(known, id);
      } else if (!isNeeded(key, known, loan, usage, nowNanos)) {
        removeBorrowed(known, id);
        out.add(returnMessage(loan.lender(), id, key));
      } else if (isRenewalDue(loan, replyLate, nowNanos)) {
        loan.recordRenewalSent(nowNanos);
        out.add(renewal(key, id, loan));
      }
    }
  }

  private boolean isNeeded(
      LimitKey key, LimitLoans known, BorrowedLoan loan, LimitUsage usage, long nowNanos) {
    long withoutLoan =
        baseShare(key, usage.limit(key))
            - known.lentAmount(nowNanos)
            + known.borrowedAmount(nowNanos)
            - loan.amount();
    return usage.demand(key, nowNanos) > withoutLoan;
  }

  private boolean isRenewalDue(BorrowedLoan loan, boolean replyLate, long nowNanos) {
    boolean halfOver = nowNanos - loan.sentAt() >= settings.loanDurationNanos() / 2;
    return loan.waiting() ? replyLate : halfOver;
  }

  private static OutgoingLoanMessage renewal(LimitKey key, LoanId id, BorrowedLoan loan) {
    return new OutgoingLoanMessage(
        loan.lender(), new LoanMessage.Request(id, key, loan.amount(), loan.round()));
  }

  private static OutgoingLoanMessage returnMessage(InstanceId lender, LoanId id, LimitKey key) {
    return new OutgoingLoanMessage(lender, new LoanMessage.Return(id, key));
  }

  private void removeBorrowed(LimitLoans known, LoanId id) {
    known.borrowed().remove(id);
    borrowedCount--;
  }

  private void dropExpiredLent(LimitLoans known, long nowNanos) {
    int before = known.lent().size();
    known.removeExpiredLent(nowNanos);
    lentCount -= before - known.lent().size();
  }

  private void removeIfUnneeded(LimitKey key, LimitLoans known, long nowNanos) {
    if (known.isRemovable(nowNanos)) {
      loansByLimit.remove(key);
    }
  }
}
