package org.pollenrock.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pollenrock.core.limits.OutgoingQuotaMessage;
import org.pollenrock.core.limits.QuotaLedger;
import org.pollenrock.core.limits.QuotaMargins;
import org.pollenrock.core.limits.QuotaMessage;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.route.CustomerAccess;
import org.pollenrock.core.route.CustomerQuota;
import org.pollenrock.core.route.RoutingConfig;
import org.pollenrock.protocol.generated.FleetNews;

/**
 * Owns the quotas of customers, and transfers parts of them to and from other instances.
 *
 * <p>All methods must be called on the event loop.
 */
final class QuotaTask implements NewsPart {
  /** Interval at which overdue transfers are given up while requests wait. */
  private static final long TICK_MILLIS = 20;

  private final EventLoop loop;
  private final ActiveConfig configs;
  private final PeerGossip gossip;
  private final EventLog log;
  private final QuotaLedger ledger;
  private RoutingConfig applied;
  private boolean tickScheduled;

  /**
   * Creates the task of an instance that knows no quotas yet.
   *
   * @param loop the event loop
   * @param configs configuration in force
   * @param gossip sends the messages to other instances
   * @param margins by how much quotas may be exceeded
   * @param log the event log
   */
  QuotaTask(
      EventLoop loop, ActiveConfig configs, PeerGossip gossip, QuotaMargins margins, EventLog log) {
    this.loop = loop;
    this.configs = configs;
    this.gossip = gossip;
    this.log = log;
    ledger = new QuotaLedger(gossip.ownId(), margins, System.nanoTime());
  }

  /** Applies a complete list of the instances, including this one. */
  void updateInstances(List<Peer> instances) {
    ledger.setInstances(instances.stream().map(Peer::id).toList(), System.nanoTime());
  }

  /** Puts the quotas of a new configuration into force. */
  void sweep() {
    Optional<RoutingConfig> current = configs.current();
    if (current.isPresent() && current.get() != applied) {
      applied = current.get();
      applyQuotas(quotas(applied));
    }
  }

  /** Charges a request; the hold is called back at once or when transfers have arrived. */
  void admit(QuotaHold hold) {
    sweep();
    ledger.admit(hold.customer(), hold, System.nanoTime());
    afterCall();
  }

  /** Ends the hold of a request; its amount is available again if the request did not run. */
  void release(QuotaHold hold, boolean ran) {
    if (hold.isWaiting()) {
      ledger.withdraw(hold.customer(), hold);
    }
    if (hold.end() && !ran) {
      ledger.refund(hold.customer(), hold.amount(), System.nanoTime());
    }
  }

  /** Adds nothing: transfers are sent to single instances at once. */
  @Override
  public void addNews(FleetNews.Builder message, long nowNanos) {}

  @Override
  public void apply(FleetNews message, InstanceId sender, long nowNanos) {
    try {
      List<QuotaMessage> messages = QuotaNews.decode(message);
      if (!messages.isEmpty()) {
        messages.forEach(transfer -> ledger.receive(sender, transfer, nowNanos));
        afterCall();
      }
    } catch (InvalidProtocolBufferException e) {
      log.line("news_unreadable")
          .with("peer", sender.value())
          .with("cause", e.getMessage())
          .write();
    }
  }

  private static Map<String, CustomerQuota> quotas(RoutingConfig config) {
    Map<String, CustomerQuota> quotas = new HashMap<>();
    for (CustomerAccess customer : config.customersByKey().values()) {
      customer.quota().ifPresent(quota -> quotas.put(customer.name(), quota));
    }
    return quotas;
  }

  private void applyQuotas(Map<String, CustomerQuota> quotas) {
    if (!quotas.isEmpty() || ledger.size() > 0) {
      ledger.setQuotas(quotas, System.nanoTime());
      log.line("quotas_in_force")
          .with("version", applied.version())
          .with("customers", quotas.size())
          .write();
    }
  }

  private void afterCall() {
    for (OutgoingQuotaMessage message : ledger.takeMessages()) {
      gossip.sendTo(QuotaNews.encode(message.message()), message.to());
    }
    if (!tickScheduled && ledger.hasWaiting()) {
      tickScheduled = true;
      loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    tickScheduled = false;
    ledger.tick(System.nanoTime());
    afterCall();
  }
}
