package org.pollenrock.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.membership.WatchAssignment;
import org.pollenrock.core.weights.EngineReport;
import org.pollenrock.core.weights.LeaseStep;
import org.pollenrock.core.weights.LoadOrder;
import org.pollenrock.core.weights.OrderAnswer;
import org.pollenrock.core.weights.OrderClaim;
import org.pollenrock.core.weights.OrderLease;
import org.pollenrock.core.weights.RolloutNews;
import org.pollenrock.core.weights.RolloutStep;
import org.pollenrock.core.weights.WeightsRollout;

/**
 * Rolls the target versions of the weights out to the engines.
 *
 * <p>The task claims and renews the lease on orders while engines have older weights, and sends
 * load orders to these engines while it holds the lease.
 */
public final class OrderTask {
  /** Subject under which the candidates for the lease are ranked. */
  private static final String LEASE_SUBJECT = "orders";

  /** Number of instances that take over quickly from a silent holder of the lease. */
  private static final int CANDIDATES = 3;

  private final Gateway gateway;
  private final OrderLease lease;
  private final OrderClaimLog claims;
  private final EngineControl engines;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final RolloutGossip gossip;
  private final WeightsRollout rollout = new WeightsRollout();
  private boolean leaseHeld;

  /**
   * Creates a task that does nothing before {@link #start}.
   *
   * @param gateway gateway whose engines receive the orders
   * @param lease lease on the right to send orders
   * @param claims shared log of claims on the lease
   * @param engines reads reports of engines and sends orders to them
   * @param log the event log
   * @param metrics counters
   */
  public OrderTask(
      Gateway gateway,
      OrderLease lease,
      OrderClaimLog claims,
      EngineControl engines,
      EventLog log,
      GatewayMetrics metrics) {
    this.gateway = gateway;
    this.lease = lease;
    this.claims = claims;
    this.engines = engines;
    this.log = log;
    this.metrics = metrics;
    gossip = new RolloutGossip(gateway, log);
  }

  /** Starts to run the task with every sweep of the gateway. */
  public void start() {
    // The lease is timed with the monotonic clock, so it would outlast its validity.
    gateway.addSuspensionListener(suspended -> lease.requireRenewal());
    gateway.addSweepTask(this::advance);
    gossip.start();
  }

  /**
   * Takes the next steps of the lease and of the rollout. Called with every sweep, after each
   * completed call, and as soon as a target version is set.
   */
  public void advance() {
    gateway.detectSuspension();
    long now = System.nanoTime();
    boolean hasWork =
        gateway.fleet().hasReadList()
            && WeightsRollout.hasOutdatedEngines(gateway.fleet().all(), gateway.weightsTargets());
    if (hasWork) {
      lease.setCandidate(isCandidate());
    }
    switch (lease.nextStep(hasWork, now)) {
      case LeaseStep.Idle() -> {}
      case LeaseStep.ReadNewestClaim() -> claims.read(this::handleClaimRead);
      case LeaseStep.AppendClaim(long logEnd, OrderClaim claim) ->
          claims.append(logEnd, claim, offset -> handleClaimAppended(claim, offset));
    }
    if (!hasWork && rollout.isIdle()) {
      return;
    }
    OptionalLong fencingNumber = lease.fencingNumber(now);
    if (fencingNumber.isPresent() != leaseHeld) {
      leaseHeld = fencingNumber.isPresent();
      log.line(leaseHeld ? "orders_held" : "orders_lapsed")
          .with("fence", fencingNumber.orElse(0))
          .write();
    }
    rollout.setWaitingServices(gateway.dispatcher().servicesWithWaitingRequests());
    List<RolloutStep> steps =
        rollout.nextSteps(gateway.fleet().all(), gateway.weightsTargets(), fencingNumber, now);
    // No instance should send requests to an engine when it receives an order.
    announce(rollout.takeNews(gossip.intervalNanos(), now), now);
    steps.forEach(this::execute);
  }

  private void announce(RolloutNews news, long now) {
    if (news.isEmpty()) {
      return;
    }
    for (RolloutNews.Loading engine : news.loading()) {
      if (engine.backend().loadingPause().begin(engine.remainingNanos(), now)) {
        log.line("engine_paused")
            .with("server", engine.backend().entry().id())
            .with("for_ms", engine.remainingNanos() / 1_000_000)
            .with("load", Math.round(engine.backend().load(now)))
            .write();
      }
    }
    gossip.announce(news, now);
  }

  /**
   * Records that the log of claims has come back from an older copy.
   *
   * @param era the new era of the log
   */
  public void recordLogRestored(long era) {
    lease.recordEra(era);
    advance();
  }

  private boolean isCandidate() {
    return WatchAssignment.rank(LEASE_SUBJECT, gateway.gossip().liveInstances(), CANDIDATES)
        .contains(gateway.gossip().ownId());
  }

  private void handleClaimRead(Optional<OrderClaimLog.NewestClaim> newest) {
    if (newest.isEmpty()) {
      lease.recordReadFailure();
      return;
    }
    lease.recordEra(newest.get().era());
    lease.recordNewestClaim(
        newest.get().claim(), newest.get().offset(), newest.get().end(), System.nanoTime());
    advance();
  }

  private void handleClaimAppended(OrderClaim claim, OptionalLong offset) {
    if (offset.isPresent()) {
      lease.recordClaimAccepted(claim, offset.getAsLong(), System.nanoTime());
    } else {
      log.line("claim_refused").with("holder", claim.holder()).with("nonce", claim.nonce()).write();
      lease.recordClaimFailure();
    }
    advance();
  }

  private void execute(RolloutStep step) {
    switch (step) {
      case RolloutStep.ReadReport(Backend backend) ->
          engines.readReport(backend, report -> handleReport(backend, report));
      case RolloutStep.SendOrder(LoadOrder order) -> {
        log.line("order_sent")
            .with("server", order.backend().entry().id())
            .with("model", order.model())
            .with("version", order.version())
            .with("orders_before", order.expectedOrderCount())
            .with("fence", order.fencingNumber())
            .write();
        engines.sendOrder(
            order, () -> isStillHolder(order), answer -> handleOrderAnswer(order, answer));
      }
    }
  }

  /** Returns whether the lease under which an order was decided on is still valid. */
  private boolean isStillHolder(LoadOrder order) {
    gateway.detectSuspension();
    OptionalLong fencingNumber = lease.fencingNumber(System.nanoTime());
    return fencingNumber.isPresent() && fencingNumber.getAsLong() == order.fencingNumber();
  }

  private void handleReport(Backend backend, Optional<EngineReport> report) {
    long now = System.nanoTime();
    if (report.isPresent()) {
      rollout.recordReport(backend, report.get(), now);
    } else {
      rollout.recordReportFailure(backend, now);
    }
    advance();
  }

  private void handleOrderAnswer(LoadOrder order, OrderAnswer answer) {
    metrics.recordOrder(answer.name());
    log.line("order_answered")
        .with("server", order.backend().entry().id())
        .with("model", order.model())
        .with("version", order.version())
        .with("answer", answer.name())
        .write();
    rollout.recordAnswer(order, answer, System.nanoTime());
    advance();
  }
}
