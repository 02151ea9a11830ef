package org.pollenrock.router.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.adapters.log.LogStreams;
import org.pollenrock.core.lease.FencingNumber;
import org.pollenrock.core.lease.LeaseDecision;
import org.pollenrock.core.lease.LeaseHolder;
import org.pollenrock.core.lease.LeaseOwner;
import org.pollenrock.core.lease.LeaseSettings;
import org.pollenrock.core.lease.LeaseTable;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.order.Assignment;
import org.pollenrock.core.order.OrderDecision;
import org.pollenrock.core.order.RolloutLimits;
import org.pollenrock.core.order.RolloutPlanner;
import org.pollenrock.core.order.RolloutTarget;
import org.pollenrock.core.order.ServerOrder;
import org.pollenrock.core.order.ServerReport;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.record.LogReadResult;
import org.pollenrock.core.settings.ModelSettings;
import org.pollenrock.router.settings.RouterSettings;

/**
 * Rollouts of weights by the router that holds the lease; confined to the decision thread.
 *
 * <p>Drains reach the routers over the log, in the order in which the holder decided on them.
 */
public final class Rollouts {
  /** Role in orders: every engine serves requests. */
  public static final String ROLE = "serve";

  private static final Logger LOG = LogManager.getLogger(Rollouts.class);
  private static final String LEASE_GROUP = "orders";
  private static final long MILLI = 1_000_000L;
  private static final long TICK_NANOS = 50 * MILLI;
  private static final long LOAD_TIMEOUT_NANOS = 30_000 * MILLI;
  private static final long SETTLE_NANOS = RolloutPlanner.DRAIN_HOLD_NANOS + 500 * MILLI;
  private static final long DRAIN_SETTLE_NANOS = 1_000 * MILLI;
  private static final long REPORT_NANOS = 3_000 * MILLI;
  private static final int STAGGER_STEPS = 8;

  private final LeaseTable leases = new LeaseTable();
  private final LeaseHolder holder;
  private final RolloutPlanner planner = new RolloutPlanner();
  private final ServerDirectory directory;
  private final Outside outside;
  private final LongSupplier nanoClock;
  private final Map<BackendServerId, ModelId> models = new HashMap<>();
  private final Map<BackendServerId, FencingNumber> drainFences = new HashMap<>();
  private Optional<RouterSettings> settings = Optional.empty();
  private Optional<RolloutTarget> target = Optional.empty();
  private boolean started;
  private long nextTickNanos;

  Rollouts(LeaseOwner self, ServerDirectory directory, Outside outside, LongSupplier nanoClock) {
    this.holder = new LeaseHolder(LEASE_GROUP, self, leaseSettings(self));
    this.directory = directory;
    this.outside = outside;
    this.nanoClock = nanoClock;
    this.nextTickNanos = nanoClock.getAsLong();
  }

  private static LeaseSettings leaseSettings(LeaseOwner self) {
    int step = Math.floorMod(self.router().value().hashCode(), STAGGER_STEPS);
    return new LeaseSettings(
        4_000 * MILLI, 500 * MILLI, 1_000 * MILLI, 1_000 * MILLI, step * 100 * MILLI);
  }

  void settings(RouterSettings accepted) {
    settings = Optional.of(accepted);
  }

  void report(ServerReport report) {
    report.assignment().ifPresent(serves -> models.put(report.server(), serves.model()));
    follow(planner.recordReport(report, now()));
  }

  /**
   * Applies a read of the lease stream.
   *
   * @param read the answer of the log
   */
  public void leaseRead(LogReadResult read) {
    List<LeaseTable.AppliedRecord> applied = leases.apply(read);
    if (!started) {
      started = true;
      followLease(holder.start(now()));
    }
    applied.forEach(one -> followLease(holder.processRecord(one, now())));
  }

  /**
   * Applies a read of the drain stream. A record holds work back for what is left of its time by
   * the log's clock, so that old records have no effect on a router that starts.
   *
   * @param read the answer of the log
   */
  public void drainsRead(LogReadResult read) {
    for (LogEntry entry : read.entries()) {
      DrainRecord.decode(entry.data())
          .ifPresent(drain -> apply(drain, read.headTimeMillis() - entry.timeMillis()));
    }
  }

  private void apply(DrainRecord drain, long ageMillis) {
    FencingNumber last = drainFences.get(drain.server());
    if (last != null && drain.fence().compareTo(last) < 0) {
      return;
    }
    drainFences.put(drain.server(), drain.fence());
    long leftMillis = drain.holdMillis() - Math.max(0, ageMillis);
    if (leftMillis > 0) {
      directory.hold(drain.server(), now() + leftMillis * MILLI);
    } else {
      directory.release(drain.server());
    }
  }

  /**
   * Takes the end of an order.
   *
   * @param order the order
   * @param refused whether the server saw a larger fencing number
   */
  public void ordered(ServerOrder order, boolean refused) {
    if (refused) {
      LOG.info(
          "server {} refused an order with fence {}",
          order.server(),
          order.fencingNumber().value());
      follow(planner.recordOrderRefusal(now()));
    }
  }

  void tick() {
    long now = now();
    if (now - nextTickNanos < 0) {
      return;
    }
    nextTickNanos = now + TICK_NANOS;
    followLease(holder.tick(now));
    refreshTarget();
    follow(planner.tick(now));
  }

  private void refreshTarget() {
    Optional<RolloutTarget> wanted = settings.map(this::targetOf);
    if (wanted.isPresent() && !wanted.equals(target)) {
      target = wanted;
      follow(planner.setTarget(wanted.get(), now()));
    }
  }

  /** Each engine keeps its model; the strictest limits of all models hold for them together. */
  private RolloutTarget targetOf(RouterSettings accepted) {
    Map<BackendServerId, Assignment> assignments = new HashMap<>();
    long loads = Long.MAX_VALUE;
    double available = 0;
    long failures = Long.MAX_VALUE;
    for (ServerEntry entry : directory.all()) {
      ModelId model = models.get(entry.id());
      Optional<ModelSettings> found =
          model == null ? Optional.empty() : accepted.tree().model(model);
      if (found.isEmpty()) {
        continue;
      }
      assignments.put(entry.id(), new Assignment(model, found.get().version(), ROLE));
      loads = Math.min(loads, found.get().rollout().maxConcurrentLoads());
      available = Math.max(available, found.get().rollout().minAvailableShare());
      failures = Math.min(failures, found.get().rollout().maxFailures());
    }
    RolloutLimits limits =
        new RolloutLimits(
            Math.clamp(loads, 1, 1_000),
            available,
            Math.clamp(failures, 1, 1_000),
            LOAD_TIMEOUT_NANOS,
            SETTLE_NANOS,
            DRAIN_SETTLE_NANOS,
            REPORT_NANOS);
    return new RolloutTarget(accepted.revision(), assignments, limits);
  }

  private void followLease(List<LeaseDecision> decisions) {
    for (LeaseDecision decision : decisions) {
      switch (decision) {
        case LeaseDecision.AppendLease append -> outside.append(LogStreams.LEASES, append.data());
        case LeaseDecision.Acquired(FencingNumber fence) -> {
          LOG.debug("lease held with fence {}", fence.value());
          follow(planner.recordLeaseAcquired(fence, now()));
        }
        case LeaseDecision.Lost(String reason) -> {
          LOG.info("lease lost: {}", reason);
          follow(planner.recordLeaseLost(now()));
        }
        case LeaseDecision.WakeAt wake -> {
          // Every tick asks the holder.
        }
      }
    }
  }

  private void follow(List<OrderDecision> decisions) {
    for (OrderDecision decision : decisions) {
      switch (decision) {
        case OrderDecision.SendOrder(ServerOrder order) -> send(order);
        case OrderDecision.DrainServer drain ->
            appendDrain(
                new DrainRecord(drain.server(), drain.fencingNumber(), drain.holdNanos() / MILLI));
        case OrderDecision.ResumeServer resume ->
            appendDrain(new DrainRecord(resume.server(), resume.fencingNumber(), 0));
        case OrderDecision.StateChanged changed -> LOG.info("rollout {}", changed.state());
      }
    }
  }

  private void appendDrain(DrainRecord drain) {
    outside.append(LogStreams.DRAINS, drain.encode());
  }

  private void send(ServerOrder order) {
    boolean held = holder.fencingNumber(now()).isPresent();
    if (held) {
      directory.find(order.server()).ifPresent(entry -> outside.order(entry, order));
    }
  }

  private long now() {
    return nanoClock.getAsLong();
  }
}
