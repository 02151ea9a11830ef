package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.RelistGrace;

/** Guards against sums of delays on the path of a request that exceed what the rules allow. */
class SendDelayTest {
  /** Rule DRAIN: a request that was sent at the end of a grace period arrives within the margin. */
  @Test
  void sendAtTheEndOfAGracePeriodArrivesWithinTheMargin() {
    long millis = Gateway.SWEEP_MILLIS + ServerConnectionPools.CONNECT_TIMEOUT_MILLIS;
    assertThat(millis * 1_000_000).isLessThanOrEqualTo(RelistGrace.SEND_MARGIN_NANOS);
  }
}
