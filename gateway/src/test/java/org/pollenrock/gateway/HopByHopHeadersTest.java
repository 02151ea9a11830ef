package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests that headers of one connection are not relayed to another. */
class HopByHopHeadersTest {
  @Test
  void removesHopByHopHeadersAndThoseNamedByConnection() {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add("Connection", "close, X-Hop").add("X-Hop", "1").add("Keep-Alive", "timeout=5");
    headers.add("TE", "trailers").add("X-Kept", "1");
    HopByHopHeaders.remove(headers);
    assertThat(headers.names()).containsExactly("X-Kept");
  }

  @Test
  void readsKeepAliveTimeout() {
    HttpHeaders headers = new DefaultHttpHeaders();
    assertThat(HopByHopHeaders.keepAliveTimeout(headers)).isEmpty();
    headers.set("Keep-Alive", "max=10, Timeout=7");
    assertThat(HopByHopHeaders.keepAliveTimeout(headers)).contains(Duration.ofSeconds(7));
    headers.set("Keep-Alive", "timeout=soon");
    assertThat(HopByHopHeaders.keepAliveTimeout(headers)).isEmpty();
  }

  @Test
  void detectsUnsupportedTransferCodings() {
    HttpHeaders headers = new DefaultHttpHeaders();
    assertThat(HopByHopHeaders.hasUnsupportedTransferCoding(headers)).isFalse();
    headers.set("Transfer-Encoding", "chunked");
    assertThat(HopByHopHeaders.hasUnsupportedTransferCoding(headers)).isFalse();
    headers.set("Transfer-Encoding", "gzip, chunked");
    assertThat(HopByHopHeaders.hasUnsupportedTransferCoding(headers)).isTrue();
    headers.set("Transfer-Encoding", "chunked");
    headers.add("Transfer-Encoding", "identity");
    assertThat(HopByHopHeaders.hasUnsupportedTransferCoding(headers)).isTrue();
  }
}
