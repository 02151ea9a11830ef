package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.Step;

/** Guards against log lines from which the cause of a failed call can't be read. */
class CallResultTest {
  @Test
  void resultsNameTheStatusOrTheCauseWithoutTheBody() {
    assertThat(new CallResult.Answered(429, EmptyHttpHeaders.INSTANCE, new byte[5]))
        .hasToString("status 429, body of 5 bytes");
    assertThat(new CallResult.Failed(Step.SEND, "10.0.0.1:80", "timeout", false))
        .hasToString("SEND 10.0.0.1:80: timeout");
  }
}
