package org.pollenrock.router.task;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollenrock.core.limits.LimitDimension;
import org.pollenrock.core.limits.LimitKey;
import org.pollenrock.core.limits.LimitScope;
import org.pollenrock.core.limits.LoanId;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.protocol.generated.LoanRequest;
import org.pollenrock.protocol.generated.PeerFrame;

/** Guards against loans that mean another limit, incarnation or round at the other end. */
class LoanWireTest {
  private static final LoanId ID = new LoanId(new InstanceId("router-1"), new Incarnation(9), 4);
  private static final LimitKey KEY =
      new LimitKey(
          LimitScope.of(new CustomerId("customer-1"), new CallerId("desk")),
          LimitDimension.REQUEST_RATE);

  static Stream<LoanMessage> messages() {
    return Stream.of(
        new LoanMessage.Request(ID, KEY, 1_500, 0),
        new LoanMessage.Grant(ID, KEY, 700, 2),
        new LoanMessage.Refusal(ID, KEY, 3, true),
        new LoanMessage.Refusal(ID, KEY, 3, false),
        new LoanMessage.Return(ID, KEY));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void everyMessageArrivesAsItWasSent(LoanMessage message) {
    assertThat(LoanWire.fromWire(LoanWire.toWire(message))).isEqualTo(Optional.of(message));
  }

  @Test
  void malformedMessagesAreSkipped() {
    String[] limits = {"", "a\nb", "r\nx\n0\nREQUEST_RATE\nc\n\n\nfalse", "r\n1\n0\nX\nc\n\n\nf"};
    for (String limit : limits) {
      PeerFrame frame =
          PeerFrame.newBuilder()
              .setLoanRequest(
                  LoanRequest.newBuilder().setLimit(ByteString.copyFromUtf8(limit)).setAmount(1))
              .build();
      assertThat(LoanWire.fromWire(frame)).isEmpty();
    }
  }
}
