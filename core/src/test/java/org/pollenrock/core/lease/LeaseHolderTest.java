package org.pollenrock.core.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.InMemoryLog;

class LeaseHolderTest {
  private static final long MILLI = 1_000_000L;
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(3_000 * MILLI, 300 * MILLI, 500 * MILLI, 1_000 * MILLI, 0);

  private final InMemoryLog log = new InMemoryLog(0);
  private final LeaseTable table = new LeaseTable();
  private final LeaseHolder holder =
      new LeaseHolder("orders", new LeaseOwner(new InstanceId("a"), new Incarnation(1)), SETTINGS);
  private final List<LeaseDecision> decisions = new ArrayList<>();

  private void appendRequests() {
    for (LeaseDecision decision : decisions) {
      if (decision instanceof LeaseDecision.AppendLease append) {
        log.append(append.data());
      }
    }
    decisions.clear();
  }

  private void appendAndRead(long nowNanos) {
    appendRequests();
    for (LeaseTable.AppliedRecord applied : table.apply(log.read(table.nextOffset(), 100))) {
      decisions.addAll(holder.processRecord(applied, nowNanos));
    }
  }

  /**
   * Guards against a validity that is counted from the time of the grant instead of the request.
   */
  @Test
  void validityCountsFromBeforeTheAppendMinusTheMargin() {
    decisions.addAll(holder.start(0));
    appendAndRead(900 * MILLI);
    assertThat(holder.fencingNumber(900 * MILLI)).contains(new FencingNumber(0));
    decisions.addAll(holder.tick(1_800 * MILLI));
    decisions.addAll(holder.tick(2_600 * MILLI));
    assertThat(holder.fencingNumber(2_699 * MILLI)).isPresent();
    assertThat(holder.fencingNumber(2_700 * MILLI)).isEmpty();
  }

  /**
   * Guards against an order that is sent right after a pause under a lease that may have expired.
   */
  @Test
  void pauseEndsTheLeaseUntilANewRequestIsGranted() {
    decisions.addAll(holder.start(0));
    appendAndRead(10 * MILLI);
    assertThat(holder.fencingNumber(1_011 * MILLI)).isEmpty();
    decisions.addAll(holder.tick(1_500 * MILLI));
    assertThat(decisions).contains(new LeaseDecision.Lost("paused"));
    appendAndRead(1_510 * MILLI);
    assertThat(holder.fencingNumber(1_510 * MILLI)).contains(new FencingNumber(1));
  }

  /** Guards against a lease that expires because its holder does not renew it in time. */
  @Test
  void leaseIsRenewedWellBeforeItsEnd() {
    decisions.addAll(holder.start(0));
    appendAndRead(10 * MILLI);
    decisions.addAll(holder.tick(1_000 * MILLI));
    log.timeMillis(1_000);
    appendAndRead(1_010 * MILLI);
    assertThat(table.currentLease("orders").orElseThrow().expiresMillis()).isEqualTo(4_000);
    assertThat(holder.fencingNumber(1_010 * MILLI)).contains(new FencingNumber(1));
  }

  /**
   * Guards against a release that reaches the log late and ends a newer grant of the same owner.
   */
  @Test
  void stoppedHolderReleasesTheLeaseAndCannotBeRestarted() {
    decisions.addAll(holder.start(0));
    appendAndRead(10 * MILLI);
    decisions.addAll(holder.stop(20 * MILLI));
    assertThat(holder.fencingNumber(20 * MILLI)).isEmpty();
    appendAndRead(30 * MILLI);
    assertThat(table.currentLease("orders")).isEmpty();
    assertThatThrownBy(() -> holder.start(40 * MILLI)).isInstanceOf(IllegalStateException.class);
  }

  /**
   * Guards against a lease that is never granted because routers that start on a truncated log
   * restart each other's waiting time with every request. The first router must hold the lease at
   * the end of 240 s, which is four times the maximum duration.
   */
  @Test
  void leaseIsGrantedAfterATruncatedLog() {
    log.append(new byte[0]);
    log.truncate(0);
    List<LeaseHolder> holders = new ArrayList<>();
    List<LeaseTable> tables = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      LeaseOwner self = new LeaseOwner(new InstanceId(name), new Incarnation(1));
      long stagger = holders.size() * 10_000 * MILLI;
      LeaseSettings settings =
          new LeaseSettings(3_000 * MILLI, 300 * MILLI, 500 * MILLI, 1_000 * MILLI, stagger);
      holders.add(new LeaseHolder("orders", self, settings));
      tables.add(new LeaseTable());
      decisions.addAll(holders.getLast().start(0));
    }
    for (long now = 0; now < 240_000 * MILLI; now += 500 * MILLI) {
      log.timeMillis(now / MILLI);
      appendRequests();
      for (int i = 0; i < holders.size(); i++) {
        LeaseTable holderTable = tables.get(i);
        for (LeaseTable.AppliedRecord applied :
            holderTable.apply(log.read(holderTable.nextOffset(), 100))) {
          decisions.addAll(holders.get(i).processRecord(applied, now));
        }
        decisions.addAll(holders.get(i).tick(now));
      }
    }
    assertThat(holders.getFirst().fencingNumber(240_000 * MILLI - 500 * MILLI)).isPresent();
  }
}
