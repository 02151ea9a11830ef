package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against connections that carry a request after a response whose copy can't be told apart.
 */
class ConnectionReuseTest {
  @Test
  void connectionIsReusedAfterAnIdentifiedFinalResponse() {
    assertThat(ConnectionReuse.isAllowed(true, true, false)).isTrue();
  }

  @Test
  void connectionIsNotReusedIfTheSameRequestMayBeSentAgain() {
    assertThat(ConnectionReuse.isAllowed(true, false, false)).isFalse();
  }

  @Test
  void connectionIsNotReusedAfterAResponseThatNamesNoRequest() {
    assertThat(ConnectionReuse.isAllowed(false, true, false)).isFalse();
  }

  @Test
  void connectionIsNotReusedAfterAResponseToAnotherRequest() {
    assertThat(ConnectionReuse.isAllowed(true, true, true)).isFalse();
  }

  @Test
  void onlyAResponseThatNamesTheRequestIsCredibleAfterOneToAnotherRequest() {
    assertThat(ConnectionReuse.isCredible(true, true)).isTrue();
    assertThat(ConnectionReuse.isCredible(false, true)).isFalse();
    assertThat(ConnectionReuse.isCredible(false, false)).isTrue();
  }
}
