package org.pollenrock.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.response.HeadCheck;

/** Guards against connections that return to their pool in a state that harms the next request. */
class HttpConnectionTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 80);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ConnectionPool pool =
      new ConnectionPool(
          channel.eventLoop(), ADDRESS, 100, address -> {}, new HeadCheck(List.of()));
  private final HttpConnection connection = new HttpConnection(pool);

  /** Pauses reading with the first bytes of the body, as for a caller who reads slowly. */
  private final class PausingListener implements HttpConnection.Listener {
    private boolean ended;

    @Override
    public boolean headReceived(HttpResponse response) {
      return true;
    }

    @Override
    public void malformedHeadReceived(MalformedHead head) {
      throw new AssertionError(head);
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
      connection.setReading(false);
    }

    @Override
    public boolean responseEnded() {
      ended = true;
      return true;
    }

    @Override
    public void requestFailed(Throwable cause) {
      throw new AssertionError(cause);
    }
  }

  /** The caller reads on after the response has ended, so that nobody resumes reading. */
  @Test
  void connectionWhoseReadingWasPausedAtTheEndOfAResponseReadsTheNextOne() {
    channel.pipeline().addLast(new HttpClientCodec()).addLast(connection);
    PausingListener listener = new PausingListener();
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), listener);
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    channel.writeInbound(Unpooled.copiedBuffer(response, US_ASCII));
    assertThat(listener.ended).isTrue();
    assertThat(connection.isUsable()).isTrue();
    assertThat(channel.config().isAutoRead()).isTrue();
  }
}
