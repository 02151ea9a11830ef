package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.route.CustomerQuota;

/**
 * Decides which requests are within the quotas of their customers, over all instances.
 *
 * <p>Each instance has a share of a quota, which refills by itself. One that lacks an amount asks
 * others, which deduct what they give before they send it. Amounts are therefore lost with a
 * message, but never granted twice. A started instance has only a small credit, because its
 * previous process may have used its share.
 */
public final class QuotaLedger {
  private final InstanceId self;
  private final QuotaMargins margins;
  private final Map<String, QuotaAccount> accounts = new HashMap<>();
  private List<OutgoingQuotaMessage> outgoing = new ArrayList<>();
  private Set<InstanceId> instances = Set.of();
  private long lastId;

  /**
   * Creates the ledger of an instance that knows neither quotas nor other instances.
   *
   * @param self this instance
   * @param margins by how much quotas may be exceeded
   * @param nowNanos current time
   */
  public QuotaLedger(InstanceId self, QuotaMargins margins, long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.margins = Objects.requireNonNull(margins, "margins");
    // Answers to the previous process of this instance must match no request of this one.
    lastId = nowNanos;
  }

  /**
   * Sets the instances among which quotas are divided.
   *
   * @param newInstances all instances; this instance is included even if it is not listed
   * @param nowNanos current time
   */
  public void setInstances(Collection<InstanceId> newInstances, long nowNanos) {
    Set<InstanceId> copy = Set.copyOf(newInstances);
    if (!copy.equals(instances)) {
      instances = copy;
      accounts.forEach((name, account) -> account.setShares(shares(name), margins, nowNanos));
    }
  }

  /**
   * Sets the quotas in force.
   *
   * @param quotas quotas by the name of the customer
   * @param nowNanos current time
   */
  public void setQuotas(Map<String, CustomerQuota> quotas, long nowNanos) {
    Iterator<Map.Entry<String, QuotaAccount>> iterator = accounts.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, QuotaAccount> entry = iterator.next();
      if (!quotas.containsKey(entry.getKey())) {
        iterator.remove();
        entry.getValue().close(nowNanos);
      }
    }
    quotas.forEach((customer, quota) -> setQuota(customer, quota, nowNanos));
  }

  /**
   * Charges a request to the quota of its customer. The request is called back, now or within 100
   * ms, with the result. Without a quota it is granted.
   *
   * @param customer name of the customer
   * @param request the request
   * @param nowNanos current time
   */
  public void admit(String customer, QuotaRequest request, long nowNanos) {
    QuotaAccount account = accounts.get(customer);
    if (account == null) {
      request.quotaGranted();
    } else {
      account.admit(request, nowNanos);
    }
  }

  /**
   * Removes a request that needs no result any more.
   *
   * @param customer name of the customer
   * @param request the request
   */
  public void withdraw(String customer, QuotaRequest request) {
    QuotaAccount account = accounts.get(customer);
    if (account != null) {
      account.withdraw(request);
    }
  }

  /**
   * Returns the amount of a request that was granted but did not run.
   *
   * @param customer name of the customer
   * @param amount the amount that was charged
   * @param nowNanos current time
   */
  public void refund(String customer, double amount, long nowNanos) {
    QuotaAccount account = accounts.get(customer);
    if (account != null) {
      account.refund(amount, nowNanos);
    }
  }

  /**
   * Handles a message of another instance.
   *
   * @param from instance that sent it
   * @param message the message
   * @param nowNanos current time
   */
  public void receive(InstanceId from, QuotaMessage message, long nowNanos) {
    QuotaAccount account = accounts.get(message.customer());
    if (account == null) {
      return;
    }
    switch (message) {
      case QuotaMessage.Request request -> account.give(from, request, nowNanos);
      case QuotaMessage.Grant grant -> account.receive(from, grant, nowNanos);
    }
  }

  /**
   * Gives up what is overdue; called every few tens of milliseconds while requests wait.
   *
   * @param nowNanos current time
   */
  public void tick(long nowNanos) {
    accounts.values().forEach(account -> account.tick(nowNanos));
  }

  /**
   * Returns whether a request waits for its result.
   *
   * @return true if {@link #tick} has to be called soon
   */
  public boolean hasWaiting() {
    return accounts.values().stream().anyMatch(QuotaAccount::hasWaiting);
  }

  /**
   * Returns the number of quotas in force.
   *
   * @return the number
   */
  public int size() {
    return accounts.size();
  }

  /**
   * Takes the messages that have to be sent.
   *
   * @return the messages
   */
  public List<OutgoingQuotaMessage> takeMessages() {
    if (outgoing.isEmpty()) {
      return List.of();
    }
    List<OutgoingQuotaMessage> taken = outgoing;
    outgoing = new ArrayList<>();
    return taken;
  }

  private void setQuota(String customer, CustomerQuota quota, long nowNanos) {
    QuotaAccount account = accounts.get(customer);
    if (account != null) {
      account.setQuota(quota, nowNanos);
      return;
    }
    account =
        new QuotaAccount(
            customer, self, quota, () -> ++lastId, message -> outgoing.add(message), nowNanos);
    account.setShares(shares(customer), margins, nowNanos);
    accounts.put(customer, account);
  }

  private QuotaShares shares(String customer) {
    return instances.isEmpty() ? QuotaShares.UNKNOWN : QuotaShares.of(customer, self, instances);
  }
}
