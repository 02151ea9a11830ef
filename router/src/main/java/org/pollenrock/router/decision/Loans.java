package org.pollenrock.router.decision;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.pollenrock.core.limits.LimitKey;
import org.pollenrock.core.limits.LimitUsage;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.limits.OutgoingLoanMessage;
import org.pollenrock.core.limits.ShareLedger;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.router.settings.RouterSettings;

/** Loans of limit shares between routers; confined to the decision thread. */
public final class Loans {
  private static final long TICK_NANOS = 50_000_000L;

  private final ShareLedger shares;
  private final Admission admission;
  private final PeerLinks links;
  private final LongSupplier nanoClock;
  private final LimitUsage usage = new Usage();
  private Optional<RouterSettings> settings = Optional.empty();
  private long nextTickNanos;

  private final class Usage implements LimitUsage {
    @Override
    public long limit(LimitKey key) {
      return settings
          .flatMap(known -> known.limits(key.scope()))
          .map(values -> values.value(key.dimension()))
          .orElse(0L);
    }

    @Override
    public long demand(LimitKey key, long nowNanos) {
      return admission.demand(key, nowNanos);
    }
  }

  Loans(ShareLedger shares, Admission admission, PeerLinks links, LongSupplier nanoClock) {
    this.shares = shares;
    this.admission = admission;
    this.links = links;
    this.nanoClock = nanoClock;
    this.nextTickNanos = nanoClock.getAsLong();
  }

  void settings(RouterSettings accepted) {
    settings = Optional.of(accepted);
  }

  /** Asks a peer for what this router's demand exceeds its share by. */
  void exceeded(LimitKey key) {
    long now = nanoClock.getAsLong();
    long missing = admission.demand(key, now) - shares.share(key, usage.limit(key), now);
    if (missing > 0) {
      send(shares.borrow(key, missing, usage, now));
    }
  }

  /**
   * Takes a message of a peer.
   *
   * @param from the peer
   * @param message the message
   */
  public void received(InstanceId from, LoanMessage message) {
    send(shares.receive(from, message, usage, nanoClock.getAsLong()));
  }

  /** Gives everything back, because this router stops. */
  public void returnAll() {
    send(shares.returnAll());
  }

  void tick() {
    long now = nanoClock.getAsLong();
    if (now - nextTickNanos >= 0) {
      nextTickNanos = now + TICK_NANOS;
      send(shares.tick(usage, now));
    }
  }

  private void send(List<OutgoingLoanMessage> messages) {
    messages.forEach(one -> links.sendLoan(one.to(), one.message()));
  }
}
