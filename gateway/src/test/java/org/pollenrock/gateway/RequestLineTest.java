package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against paths and queries that reach the server with other bytes than the caller sent. */
class RequestLineTest {
  private static final int MAX_HEADER_BYTES = 16_384;

  private static String forward(String received) {
    EmbeddedChannel caller = new EmbeddedChannel(new RequestDecoder(MAX_HEADER_BYTES));
    caller.writeInbound(Unpooled.copiedBuffer(received, StandardCharsets.ISO_8859_1));
    HttpRequest head = caller.readInbound();
    EmbeddedChannel server = new EmbeddedChannel(new ServerRequestEncoder());
    server.writeOutbound(
        new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri()));
    ByteBuf sent = server.readOutbound();
    String line = sent.toString(StandardCharsets.ISO_8859_1);
    ReferenceCountUtil.release(sent);
    caller.finishAndReleaseAll();
    server.finishAndReleaseAll();
    return line.substring(0, line.indexOf("\r\n") + 2);
  }

  @Test
  void targetsReachTheServerUnchanged() {
    for (String target :
        List.of("/a/b?c=d", "/\u00e9?\u00ff", "/\u00c5\u009f/", "http://h", "http://h?a", "*")) {
      String line = "GET " + target + " HTTP/1.1\r\n";
      assertThat(forward(line + "\r\n")).isEqualTo(line);
    }
  }

  /** The limit that the operator sets must not have another one beside it. */
  @Test
  void requestLineMayBeAsLongAsTheHead() {
    String target = "/" + "a".repeat(MAX_HEADER_BYTES - 100);
    assertThat(forward("GET " + target + " HTTP/1.1\r\n\r\n")).contains(target);
    assertThat(new EmbeddedChannel(new RequestDecoder(Integer.MAX_VALUE)).finish()).isFalse();
    EmbeddedChannel caller = new EmbeddedChannel(new RequestDecoder(MAX_HEADER_BYTES));
    String tooLong = "GET /" + "a".repeat(MAX_HEADER_BYTES) + " HTTP/1.1\r\n\r\n";
    caller.writeInbound(Unpooled.copiedBuffer(tooLong, StandardCharsets.ISO_8859_1));
    HttpRequest head = caller.readInbound();
    assertThat(head.decoderResult().isFailure()).isTrue();
    caller.finishAndReleaseAll();
  }
}
