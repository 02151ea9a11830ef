package org.pollenrock.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.response.HeadCheck;

/** Guards against connections that return to their pool in a state that harms the next request. */
class HttpConnectionTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 80);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ConnectionPool pool =
      new ConnectionPool(
          channel.eventLoop(),
          ADDRESS,
          100,
          new ReadShare(channel.eventLoop()),
          address -> {},
          new HeadCheck(List.of()));
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
    connection.addTo(channel.pipeline());
    PausingListener listener = new PausingListener();
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), listener);
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    channel.writeInbound(Unpooled.copiedBuffer(response, US_ASCII));
    assertThat(listener.ended).isTrue();
    assertThat(connection.isUsable()).isTrue();
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  /** Collects the outcome of a call to a service whose responses name no request. */
  private static final class CollectingListener implements HttpConnection.Listener {
    private final StringBuilder body = new StringBuilder();
    private int status;
    private boolean ended;
    private boolean failed;

    @Override
    public boolean headReceived(HttpResponse response) {
      status = response.status().code();
      return true;
    }

    @Override
    public void malformedHeadReceived(MalformedHead head) {
      assertThat(failed).isFalse();
    }

    @Override
    public void contentReceived(ByteBuf bytes) {
      body.append(bytes.toString(US_ASCII));
    }

    @Override
    public boolean responseEnded() {
      ended = true;
      return true;
    }

    @Override
    public void requestFailed(Throwable cause) {
      failed = true;
    }
  }

  private static CollectingListener receive(String... reads) {
    return receive(HttpMethod.GET, reads);
  }

  private static CollectingListener receive(HttpMethod method, String... reads) {
    EmbeddedChannel calls = new EmbeddedChannel();
    HttpConnection call =
        new HttpConnection(
            new ConnectionPool(
                calls.eventLoop(),
                ADDRESS,
                100,
                new ReadShare(calls.eventLoop()),
                address -> {},
                new HeadCheck(List.of())));
    call.addTo(calls.pipeline());
    CollectingListener listener = new CollectingListener();
    call.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"), listener);
    for (String read : reads) {
      calls.writeInbound(Unpooled.copiedBuffer(read, US_ASCII));
    }
    calls.finishAndReleaseAll();
    return listener;
  }

  /** A response without identifier, as of the store or to a probe, that is begun twice. */
  @Test
  void responseBegunTwiceIsNeverTheResultOfACall() {
    String begun = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n0123456789ab";
    String second = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    for (int cut = 1; cut < begun.length(); cut++) {
      for (String[] reads :
          List.of(
              new String[] {begun.substring(0, cut) + second},
              new String[] {begun.substring(0, cut), second},
              new String[] {begun.substring(0, cut)})) {
        CollectingListener result = receive(reads);
        assertThat(result.failed).as("cut %s", cut).isTrue();
        assertThat(result.ended).as("cut %s", cut).isFalse();
      }
    }
  }

  /** Records of the store may contain anything, also at the end of a page. */
  @Test
  void bodyThatQuotesAResponseIsReceivedWhole() {
    String page = "record HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 20";
    String text = "HTTP/1.1 200 OK\r\nContent-Length: " + page.length() + "\r\n\r\n" + page;
    for (int cut = 1; cut < text.length(); cut++) {
      CollectingListener result = receive(text.substring(0, cut), text.substring(cut));
      assertThat(result.status).isEqualTo(200);
      assertThat(result.ended).as("cut %s", cut).isTrue();
      assertThat(result.body).hasToString(page);
    }
  }

  // Guards against the next request on a connection whose socket still holds bytes of no request.
  @Test
  void connectionIsReusedOnlyAfterAllReceivedBytesWereRead() {
    connection.addTo(channel.pipeline());
    send();
    channel.writeInbound(fullBuffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
    assertThat(isIdle()).isFalse();
    passTime();
    assertThat(isIdle()).isTrue();
    send();
    channel.writeInbound(fullBuffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
    channel.writeInbound(fullBuffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny"));
    passTime();
    assertThat(isIdle()).isFalse();
    assertThat(connection.isUsable()).isFalse();
  }

  // Guards against the next request on a connection that was paused before it was read to its end.
  @Test
  void connectionIsNotReusedWhileItsReadingIsPausedForOthers() {
    connection.addTo(channel.pipeline());
    send();
    channel.writeInbound(fullBuffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
    connection.setPaused(true);
    passTime();
    assertThat(isIdle()).isFalse();
    connection.setPaused(false);
    passTime();
    assertThat(isIdle()).isTrue();
  }

  // Guards against the next request on a connection that a late loop has not read again.
  @Test
  void connectionIsNotReusedInTheTurnOfItsLastRead() {
    channel.freezeTime();
    connection.addTo(channel.pipeline());
    send();
    channel.writeInbound(fullBuffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
    channel.advanceTimeBy(1, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(isIdle()).isFalse();
    runNextTurn();
    assertThat(isIdle()).isTrue();
  }

  /** Lets two turns of the loop pass, late. */
  private void passTime() {
    channel.advanceTimeBy(1, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    runNextTurn();
  }

  /** Lets a turn of the loop pass, at a later reading of the clock than the one before. */
  private void runNextTurn() {
    channel.advanceTimeBy(1, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
  }

  private void send() {
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
        new PausingListener());
  }

  /** Returns a buffer without room for more, as after a read that left bytes in the socket. */
  private static ByteBuf fullBuffer(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(US_ASCII));
  }

  /** Returns whether the pool has the connection, which it then loses. */
  private boolean isIdle() {
    AtomicBoolean idle = new AtomicBoolean();
    pool.acquire(
        false,
        new ConnectionPool.AcquireListener() {
          @Override
          public void connected(HttpConnection acquired, boolean reused) {
            idle.set(reused);
          }

          @Override
          public void connectFailed(Throwable cause) {
            idle.set(false);
          }
        });
    return idle.get();
  }

  /** The length in the response to a HEAD request is that of no body. */
  @Test
  void responseToAHeadRequestEndsWithItsHead() {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
    CollectingListener result = receive(HttpMethod.HEAD, "HTTP/1.1 103 Early Hints\r\n\r\n" + head);
    assertThat(result.status).isEqualTo(200);
    assertThat(result.ended).isTrue();
    assertThat(result.body).isEmpty();
  }
}
