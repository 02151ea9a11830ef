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
 * Computes this router's share of every limit and manages the loans of shares between routers.
 *
 * <p>The base share is the limit divided by the number of routers. The remainder is distributed in
 * units of one to routers that are selected by a hash of the limit, so the base shares add up to
 * exactly the limit. A router that needs more requests a loan from one peer at a time. The lender
 * lowers its own share before it sends the grant, and raises it again only when the loan is
 * returned or has expired on the lender's clock plus a margin. The borrower counts the loan
 * duration from the time at which it sent the request, which is earlier. Therefore the shares of
 * all routers never add up to more than the limit while the routers agree on their number, even if
 * messages are lost, delayed or duplicated.
 *
 * <p>Only base shares are lent, never borrowed amounts. A restarted router does not know the loans
 * that its previous incarnation granted. It uses its base share at once but lends nothing until
 * those loans have expired, so that the excess of repeated restarts does not accumulate: it is at
 * most the base share of the router for one loan duration.
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
   * Creates the ledger of a router that has just started and knows no peers.
   *
   * @param self this router
   * @param incarnation incarnation of this router
   * @param settings durations and bounds of loans
   * @param random selects the peer that is asked for a loan
   * @param nowNanos current time
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
   * Sets the routers among which the limits are divided.
   *
   * @param routers all routers; this router is included even if it is not listed
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
    LimitLoans limitLoans = loansByLimit.get(key);
    if (limitLoans == null) {
      return base;
    }
    long balance = limitLoans.borrowedAmount(nowNanos) - limitLoans.lentAmount(nowNanos);
    return Math.max(0, base + balance);
  }

  /**
   * Requests a loan from a peer. No message is returned while a request for the same limit is
   * outstanding or was sent too recently, when there is no peer, or when this router has reached
   * the maximum number of borrowed loans. Therefore this method may be called for every request
   * that exceeds the share.
   *
   * @param key the limit
   * @param amount required amount in the unit of the limit's dimension
   * @param usage provides the limits and this router's demand
   * @param nowNanos current time
   * @return the loan request, or an empty list
   */
  public List<OutgoingLoanMessage> borrow(
      LimitKey key, long amount, LimitUsage usage, long nowNanos) {
    LimitLoans limitLoans = loansByLimit.computeIfAbsent(key, newKey -> new LimitLoans(nowNanos));
    long limit = usage.limit(key);
    long requestedAmount = Math.min(amount, limit - share(key, limit, nowNanos));
    if (requestedAmount <= 0
        || peers.isEmpty()
        || !limitLoans.mayRequestLoan(nowNanos)
        || borrowedCount >= settings.maxLoans()) {
      removeIfUnneeded(key, limitLoans, nowNanos);
      return List.of();
    }
    limitLoans.delayNextRequest(settings.minRequestIntervalNanos(), nowNanos);
    InstanceId lender = peers.get(random.nextInt(peers.size()));
    LoanId id = new LoanId(self, incarnation, loanCounter++);
    limitLoans.borrowed().put(id, new BorrowedLoan(lender, requestedAmount, nowNanos));
    borrowedCount++;
    return List.of(
        new OutgoingLoanMessage(lender, new LoanMessage.Request(id, key, requestedAmount, 0)));
  }

  /**
   * Handles a message from another router.
   *
   * @param from router that sent the message
   * @param message the message
   * @param usage provides the limits and this router's demand
   * @param nowNanos current time
   * @return the replies to send
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
   * Renews borrowed loans that are still needed, returns those that are not, and removes expired
   * loans. Called several times per reply timeout.
   *
   * @param usage provides the limits and this router's demand
   * @param nowNanos current time
   * @return the renewal requests and returns to send
   */
  public List<OutgoingLoanMessage> tick(LimitUsage usage, long nowNanos) {
    List<OutgoingLoanMessage> messages = new ArrayList<>();
    Iterator<Map.Entry<LimitKey, LimitLoans>> iterator = loansByLimit.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<LimitKey, LimitLoans> entry = iterator.next();
      dropExpiredLent(entry.getValue(), nowNanos);
      tickBorrowed(entry.getKey(), entry.getValue(), usage, nowNanos, messages);
      if (entry.getValue().isRemovable(nowNanos)) {
        iterator.remove();
      }
    }
    return messages;
  }

  /**
   * Returns all borrowed loans to their lenders; called when this router shuts down.
   *
   * @return the messages to send
   */
  public List<OutgoingLoanMessage> returnAll() {
    List<OutgoingLoanMessage> messages = new ArrayList<>();
    loansByLimit.forEach(
        (key, limitLoans) -> {
          limitLoans
              .borrowed()
              .forEach((id, loan) -> messages.add(returnMessage(loan.lender(), id, key)));
          limitLoans.borrowed().clear();
        });
    borrowedCount = 0;
    return messages;
  }

  /**
   * Returns the number of granted loans that have been neither returned nor removed after expiry.
   *
   * @return number of lent loans
   */
  public int lentCount() {
    return lentCount;
  }

  /**
   * Returns the number of loans that this router has borrowed or requested.
   *
   * @return number of borrowed and requested loans
   */
  public int borrowedCount() {
    return borrowedCount;
  }

  private long baseShare(LimitKey key, long limit) {
    long routers = peers.size() + 1L;
    long position = Math.floorMod((long) rank + key.stableHash(), routers);
    return limit / routers + (position < limit % routers ? 1 : 0);
  }

  private List<OutgoingLoanMessage> handleRequest(
      InstanceId from, LoanMessage.Request request, LimitUsage usage, long nowNanos) {
    LimitLoans limitLoans =
        loansByLimit.computeIfAbsent(request.key(), newKey -> new LimitLoans(nowNanos));
    dropExpiredLent(limitLoans, nowNanos);
    LentLoan loan = limitLoans.lent().get(request.id());
    LoanMessage reply =
        loan == null
            ? lend(limitLoans, request, usage, nowNanos)
            : renew(limitLoans, loan, request, usage, nowNanos);
    removeIfUnneeded(request.key(), limitLoans, nowNanos);
    return List.of(new OutgoingLoanMessage(from, reply));
  }

  private LoanMessage lend(
      LimitLoans limitLoans, LoanMessage.Request request, LimitUsage usage, long nowNanos) {
    if (request.round() > 0) {
      return refusal(request, true);
    }
    if (nowNanos < lendingStartNanos || lentCount >= settings.maxLoans()) {
      return refusal(request, false);
    }
    long unused = unusedShare(limitLoans, request.key(), usage, nowNanos);
    long amount = Math.min(request.amount(), lendableAmount(unused));
    if (amount <= 0) {
      return refusal(request, false);
    }
    long expiryNanos = nowNanos + settings.maxWithheldNanos();
    limitLoans.lent().put(request.id(), new LentLoan(amount, 0, expiryNanos));
    lentCount++;
    return new LoanMessage.Grant(request.id(), request.key(), amount, 0);
  }

  private LoanMessage renew(
      LimitLoans limitLoans,
      LentLoan loan,
      LoanMessage.Request request,
      LimitUsage usage,
      long nowNanos) {
    if (request.round() > loan.round()) {
      if (unusedShare(limitLoans, request.key(), usage, nowNanos) < 0) {
        return refusal(request, false);
      }
      loan.renew(request.round(), nowNanos + settings.maxWithheldNanos());
    }
    return new LoanMessage.Grant(request.id(), request.key(), loan.amount(), request.round());
  }

  // Returns the unused part of the base share, or -1 if this router borrows or requests a loan of
  // the limit itself. A borrower lends nothing, so that there are no chains of loans that expire at
  // different times.
  private long unusedShare(LimitLoans limitLoans, LimitKey key, LimitUsage usage, long nowNanos) {
    if (limitLoans.borrowedAmount(nowNanos) > 0 || limitLoans.hasPendingRequest()) {
      return -1;
    }
    long base = baseShare(key, usage.limit(key));
    return base - limitLoans.lentAmount(nowNanos) - usage.demand(key, nowNanos);
  }

  // The result is rounded up, so that the last unit of a small concurrency limit can be lent.
  private long lendableAmount(long unused) {
    if (unused <= 0) {
      return 0;
    }
    long lentHundreds = unused / PERCENT * settings.maxLendPercent();
    long lentRemainder = unused % PERCENT * settings.maxLendPercent();
    return lentHundreds + (lentRemainder + PERCENT - 1) / PERCENT;
  }

  private static LoanMessage refusal(LoanMessage.Request request, boolean loanUnknown) {
    return new LoanMessage.Refusal(request.id(), request.key(), request.round(), loanUnknown);
  }

  private List<OutgoingLoanMessage> handleGrant(
      InstanceId from, LoanMessage.Grant grant, long nowNanos) {
    LimitLoans limitLoans = loansByLimit.get(grant.key());
    BorrowedLoan loan = limitLoans == null ? null : limitLoans.borrowed().get(grant.id());
    if (loan == null) {
      // This router removed the loan before the grant arrived. Because of the return, the lender
      // need
      // not wait until the loan expires.
      return List.of(returnMessage(from, grant.id(), grant.key()));
    }
    if (loan.isAwaitingReply() && grant.round() == loan.round()) {
      loan.recordGrant(grant.amount(), settings.loanDurationNanos());
    }
    return List.of();
  }

  private List<OutgoingLoanMessage> handleRefusal(LoanMessage.Refusal refusal, long nowNanos) {
    LimitLoans limitLoans = loansByLimit.get(refusal.key());
    BorrowedLoan loan = limitLoans == null ? null : limitLoans.borrowed().get(refusal.id());
    if (loan == null || refusal.round() != loan.round()) {
      return List.of();
    }
    loan.recordRefusal();
    if (refusal.loanUnknown() || !loan.isGranted()) {
      removeBorrowed(limitLoans, refusal.id());
      removeIfUnneeded(refusal.key(), limitLoans, nowNanos);
    }
    return List.of();
  }

  private List<OutgoingLoanMessage> handleReturn(
      InstanceId from, LoanMessage.Return returned, long nowNanos) {
    LimitLoans limitLoans = loansByLimit.get(returned.key());
    boolean sentByBorrower = returned.id().borrower().equals(from);
    if (limitLoans != null && sentByBorrower && limitLoans.lent().remove(returned.id()) != null) {
      lentCount--;
      removeIfUnneeded(returned.key(), limitLoans, nowNanos);
    }
    return List.of();
  }

  private void tickBorrowed(
      LimitKey key,
      LimitLoans limitLoans,
      LimitUsage usage,
      long nowNanos,
      List<OutgoingLoanMessage> messages) {
    for (LoanId id : List.copyOf(limitLoans.borrowed().keySet())) {
      BorrowedLoan loan = limitLoans.borrowed().get(id);
      boolean replyOverdue = nowNanos - loan.sentNanos() > settings.replyTimeoutNanos();
      if (!loan.isGranted()) {
        if (replyOverdue) {
          removeBorrowed(limitLoans, id);
        }
      } else if (!loan.isUsable(nowNanos)) {
        removeBorrowed(limitLoans, id);
      } else if (!isNeeded(key, limitLoans, loan, usage, nowNanos)) {
        removeBorrowed(limitLoans, id);
        messages.add(returnMessage(loan.lender(), id, key));
      } else if (isRenewalDue(loan, replyOverdue, nowNanos)) {
        loan.recordRenewalSent(nowNanos);
        messages.add(renewal(key, id, loan));
      }
    }
  }

  private boolean isNeeded(
      LimitKey key, LimitLoans limitLoans, BorrowedLoan loan, LimitUsage usage, long nowNanos) {
    long withoutLoan =
        baseShare(key, usage.limit(key))
            - limitLoans.lentAmount(nowNanos)
            + limitLoans.borrowedAmount(nowNanos)
            - loan.amount();
    return usage.demand(key, nowNanos) > withoutLoan;
  }

  private boolean isRenewalDue(BorrowedLoan loan, boolean replyOverdue, long nowNanos) {
    boolean halfElapsed = nowNanos - loan.sentNanos() >= settings.loanDurationNanos() / 2;
    return loan.isAwaitingReply() ? replyOverdue : halfElapsed;
  }

  private static OutgoingLoanMessage renewal(LimitKey key, LoanId id, BorrowedLoan loan) {
    return new OutgoingLoanMessage(
        loan.lender(), new LoanMessage.Request(id, key, loan.amount(), loan.round()));
  }

  private static OutgoingLoanMessage returnMessage(InstanceId lender, LoanId id, LimitKey key) {
    return new OutgoingLoanMessage(lender, new LoanMessage.Return(id, key));
  }

  private void removeBorrowed(LimitLoans limitLoans, LoanId id) {
    limitLoans.borrowed().remove(id);
    borrowedCount--;
  }

  private void dropExpiredLent(LimitLoans limitLoans, long nowNanos) {
    int before = limitLoans.lent().size();
    limitLoans.removeExpiredLent(nowNanos);
    lentCount -= before - limitLoans.lent().size();
  }

  private void removeIfUnneeded(LimitKey key, LimitLoans limitLoans, long nowNanos) {
    if (limitLoans.isRemovable(nowNanos)) {
      loansByLimit.remove(key);
    }
  }
}
