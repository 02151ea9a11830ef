package org.pollenrock.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.route.CustomerQuota;

/** Guards against requests of a customer that are charged wrongly, twice, or not at all. */
class QuotaLedgerTest {
  private static final long SECOND = 1_000_000_000L;
  private static final InstanceId SELF = new InstanceId("self");
  private static final InstanceId PEER = new InstanceId("peer");
  private static final CustomerQuota QUOTA = quota(100, 1_000);

  private final QuotaLedger ledger = new QuotaLedger(SELF, QuotaMargins.NONE, 0);
  private final List<QuotaExcess> refused = new ArrayList<>();
  private int granted;

  private static CustomerQuota quota(double rate, double burst) {
    return new CustomerQuota(rate, burst, CustomerQuota.Unit.TOKENS, 20);
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
      granted++;
    }

    @Override
    public void quotaExceeded(QuotaExcess excess) {
      refused.add(excess);
    }
  }

  private void start(InstanceId... instances) {
    ledger.setInstances(List.of(instances), 0);
    ledger.setQuotas(Map.of("alpha", QUOTA), 0);
  }

  private void admit(double amount, long nowNanos) {
    ledger.admit("alpha", new Arrival(amount), nowNanos);
  }

  /** Failure: a process that was killed after its whole burst starts again. */
  @Test
  void aStartedInstanceHasNoBurst() {
    start(SELF);
    admit(50, 0);
    assertThat(refused).hasSize(1);
    admit(50, SECOND);
    assertThat(granted).isEqualTo(1);
  }

  /** Load: a customer repeats its refused requests when Retry-After says. */
  @Test
  void aRequestIsWithinTheQuotaAfterItsRetryAfter() {
    start(SELF);
    admit(50, 0);
    long retryAfterNanos = refused.getFirst().retryAfterNanos();
    assertThat(retryAfterNanos).isBetween(SECOND / 2, SECOND);
    admit(50, retryAfterNanos);
    assertThat(granted).isEqualTo(1);
  }

  @Test
  void aRequestLargerThanTheBurstIsRefusedForLong() {
    start(SELF);
    admit(1_001, 100 * SECOND);
    assertThat(refused.getFirst().retryAfterNanos()).isEqualTo(60 * SECOND);
    admit(1_000, 100 * SECOND);
    assertThat(granted).isEqualTo(1);
  }

  @Test
  void aRequestThatDidNotRunGivesItsAmountBack() {
    start(SELF);
    admit(1_000, 100 * SECOND);
    ledger.refund("alpha", 1_000, 100 * SECOND);
    admit(1_000, 100 * SECOND);
    assertThat(granted).isEqualTo(2);
  }

  @Test
  void aCustomerWithoutQuotaIsNotLimited() {
    start(SELF);
    ledger.admit("beta", new Arrival(1e9), 0);
    assertThat(granted).isEqualTo(1);
    ledger.setQuotas(Map.of(), 0);
    admit(1e9, 0);
    assertThat(granted).isEqualTo(2);
    assertThat(ledger.takeMessages()).isEmpty();
  }

  /** Failure: a configuration lowers the quota while its burst is saved up. */
  @Test
  void aLowerQuotaShrinksTheSavedAmount() {
    start(SELF);
    ledger.setQuotas(Map.of("alpha", quota(10, 100)), 100 * SECOND);
    admit(101, 100 * SECOND);
    admit(100, 100 * SECOND);
    admit(10, 100 * SECOND);
    assertThat(granted).isEqualTo(1);
    ledger.setQuotas(Map.of("alpha", quota(1_000, 1_000)), 101 * SECOND);
    admit(900, 102 * SECOND);
    assertThat(granted).isEqualTo(2);
  }

  /** Failures: an answer arrives twice, late, from another instance, or with too much. */
  @Test
  void anAnswerCountsOnceAndInTime() {
    start(SELF, PEER);
    admit(600, 10 * SECOND);
    QuotaMessage.Request first = takeRequest();
    assertThat(first.amount()).isEqualTo(100);
    QuotaMessage.Grant grant = new QuotaMessage.Grant("alpha", first.id(), 1_000);
    ledger.receive(new InstanceId("other"), grant, 10 * SECOND);
    assertThat(granted).isZero();
    ledger.receive(PEER, grant, 10 * SECOND);
    assertThat(granted).isEqualTo(1);
    ledger.receive(PEER, grant, 10 * SECOND);
    admit(50, 10 * SECOND);
    assertThat(granted).isEqualTo(1);
  }

  @Test
  void aLateAnswerDoesNotCount() {
    start(SELF, PEER);
    admit(600, 10 * SECOND);
    QuotaMessage.Request request = takeRequest();
    QuotaMessage.Grant grant = new QuotaMessage.Grant("alpha", request.id(), request.amount());
    ledger.receive(PEER, grant, 10 * SECOND + SECOND / 10);
    assertThat(granted).isZero();
    ledger.tick(10 * SECOND + SECOND / 10);
    assertThat(refused).hasSize(1);
    assertThat(ledger.hasWaiting()).isFalse();
  }

  /** What is given is gone before it is sent. */
  @Test
  void whatIsGivenIsDeducted() {
    start(SELF, PEER);
    ledger.receive(PEER, new QuotaMessage.Request("alpha", 1, 400), 10 * SECOND);
    assertThat(ledger.takeMessages())
        .containsExactly(new OutgoingQuotaMessage(PEER, new QuotaMessage.Grant("alpha", 1, 400)));
    admit(200, 10 * SECOND);
    admit(100, 10 * SECOND);
    assertThat(granted).isEqualTo(1);
  }

  @Test
  void requestsCostTheirTokensOrThePlainAmount() {
    assertThat(QUOTA.cost(OptionalLong.of(70))).isEqualTo(70);
    assertThat(QUOTA.cost(OptionalLong.empty())).isEqualTo(20);
    CustomerQuota requests = new CustomerQuota(2, 0, CustomerQuota.Unit.REQUESTS, 20);
    assertThat(requests.cost(OptionalLong.of(70))).isEqualTo(1);
    assertThat(requests.capacity()).isEqualTo(1);
  }

  private QuotaMessage.Request takeRequest() {
    List<OutgoingQuotaMessage> messages = ledger.takeMessages();
    assertThat(messages).hasSize(1);
    assertThat(messages.getFirst().to()).isEqualTo(PEER);
    return (QuotaMessage.Request) messages.getFirst().message();
  }
}
