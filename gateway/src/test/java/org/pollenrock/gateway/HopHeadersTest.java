package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against headers of one connection that reach another. */
class HopHeadersTest {
  @Test
  void removesNamedHeadersOfTheConnection() {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add("Connection", "close, X-Hop").add("X-Hop", "1").add("Keep-Alive", "timeout=5");
    headers.add("TE", "trailers").add("X-Kept", "1");
    HopHeaders.remove(headers);
    assertThat(headers.names()).containsExactly("X-Kept");
  }

  @Test
  void readsTheTimeoutOfAnIdleConnection() {
    HttpHeaders headers = new DefaultHttpHeaders();
    assertThat(HopHeaders.keepAlive(headers)).isEmpty();
    headers.set("Keep-Alive", "max=10, Timeout=7");
    assertThat(HopHeaders.keepAlive(headers)).contains(Duration.ofSeconds(7));
    headers.set("Keep-Alive", "timeout=soon");
    assertThat(HopHeaders.keepAlive(headers)).isEmpty();
  }

  @Test
  void findsTransferCodingsThatCouldHideARequest() {
    HttpHeaders headers = new DefaultHttpHeaders();
    assertThat(HopHeaders.hasOddTransferCoding(headers)).isFalse();
    headers.set("Transfer-Encoding", "chunked");
    assertThat(HopHeaders.hasOddTransferCoding(headers)).isFalse();
    headers.set("Transfer-Encoding", "gzip, chunked");
    assertThat(HopHeaders.hasOddTransferCoding(headers)).isTrue();
    headers.set("Transfer-Encoding", "chunked");
    headers.add("Transfer-Encoding", "identity");
    assertThat(HopHeaders.hasOddTransferCoding(headers)).isTrue();
  }
}
