package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against connections that carry a request after a response whose copy can't be told apart.
 */
class ConnectionReuseTest {
  @Test
  void connectionIsReusedAfterAnIdentifiedFinalResponse() {
    assertThat(ConnectionReuse.isAllowed(true, true)).isTrue();
  }

  @Test
  void connectionIsNotReusedIfTheSameRequestMayBeSentAgain() {
    assertThat(ConnectionReuse.isAllowed(true, false)).isFalse();
  }

  @Test
  void connectionIsNotReusedAfterAResponseThatNamesNoRequest() {
    assertThat(ConnectionReuse.isAllowed(false, true)).isFalse();
  }
}
