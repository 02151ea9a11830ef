package org.pollenrock.router.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.adapters.http.HeldBytes;

/** Guards the listener against hostile, slow and impatient callers. */
class CallerConnectionTest {
  private static final CallerLimits LIMITS =
      new CallerLimits(
          128,
          512,
          1_000,
          4_096,
          5_000,
          10,
          Duration.ofSeconds(5),
          Duration.ofSeconds(60),
          Duration.ofSeconds(5));
  private static final String GET = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

  private final HeldBytes held = new HeldBytes(LIMITS.maxHeldBytes());
  private final DrainSwitch drain = new DrainSwitch();
  private final Deque<ResponseSink> open = new ArrayDeque<>();
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private int requests;

  @AfterEach
  void release() {
    channels.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private EmbeddedChannel channel(boolean answerAtOnce) {
    EmbeddedChannel channel = new EmbeddedChannel();
    channels.add(channel);
    channel.freezeTime();
    CallerConnection connection =
        new CallerConnection(
            LIMITS,
            (request, sink) -> {
              requests++;
              open.add(sink);
              if (answerAtOnce) {
                answer(request.path());
              }
            },
            held,
            drain);
    channel
        .pipeline()
        .addLast(
            new FirstByteHandler(connection),
            new HttpServerCodec(
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(LIMITS.maxLineBytes())
                    .setMaxHeaderSize(LIMITS.maxHeaderBytes())),
            connection);
    return channel;
  }

  private void answer(String body) {
    open.remove().sendWhole(200, new DefaultHttpHeaders(), body.getBytes(StandardCharsets.UTF_8));
  }

  private static void write(EmbeddedChannel channel, String text) {
    write(channel, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void write(EmbeddedChannel channel, byte[] bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes));
    channel.runPendingTasks();
  }

  private static String written(EmbeddedChannel channel) {
    channel.runPendingTasks();
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.UTF_8));
      part.release();
    }
    return text.toString();
  }

  @Test
  void pipelinedRequestsAreServedOneAfterTheOtherInOrder() {
    EmbeddedChannel channel = channel(false);
    write(channel, GET + GET.replace("/a", "/b") + GET.replace("/a", "/c"));
    assertThat(requests).isEqualTo(1);
    answer("first");
    channel.runPendingTasks();
    assertThat(requests).isEqualTo(2);
    answer("second");
    channel.runPendingTasks();
    answer("third");
    assertThat(written(channel)).containsSubsequence("first", "second", "third");
  }

  /** Guards against the loss of requests that were received before the stop was announced. */
  @Test
  void pipelinedRequestsAreServedAlthoughAStopBegins() {
    EmbeddedChannel channel = channel(false);
    write(channel, GET + GET.replace("/a", "/b"));
    drain.turnOn();
    answer("first");
    channel.runPendingTasks();
    assertThat(requests).isEqualTo(2);
    answer("second");
    assertThat(written(channel)).containsSubsequence("keep-alive", "first", "close", "second");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void pipelinedFloodStopsReadingAtItsBound() {
    EmbeddedChannel channel = channel(false);
    write(channel, GET.repeat(50));
    assertThat(channel.config().isAutoRead()).isFalse();
    for (int i = 0; i < 50; i++) {
      answer("x");
      channel.runPendingTasks();
    }
    assertThat(requests).isEqualTo(50);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void oversizedLineHeaderAndBodyAreRefusedAndClosed() {
    String[] inputs = {
      "GET /" + "x".repeat(200) + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nA: " + "x".repeat(600) + "\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + "x".repeat(1_001)
    };
    for (String input : inputs) {
      EmbeddedChannel channel = channel(true);
      write(channel, input);
      assertThat(written(channel)).startsWith("HTTP/1.1 413").contains("\"run\":\"not_run\"");
      assertThat(channel.isOpen()).isFalse();
    }
    assertThat(requests).isZero();
    assertThat(held.held()).isZero();
  }

  @Test
  void slowRequestIsRefusedAndIdleConnectionIsClosed() {
    EmbeddedChannel slow = channel(true);
    write(slow, "GET / HT");
    slow.advanceTimeBy(5, TimeUnit.SECONDS);
    slow.runScheduledPendingTasks();
    assertThat(written(slow)).startsWith("HTTP/1.1 408");
    EmbeddedChannel idle = channel(true);
    idle.advanceTimeBy(60, TimeUnit.SECONDS);
    idle.runScheduledPendingTasks();
    assertThat(idle.isOpen()).isFalse();
  }

  @Test
  void disconnectIsToldWhileTheResponseIsOpen() {
    EmbeddedChannel channel = channel(false);
    write(channel, GET);
    boolean[] told = new boolean[1];
    open.element()
        .listener(
            new ResponseListener() {
              @Override
              public void writabilityChanged(boolean writable) {
                // Not part of this test.
              }

              @Override
              public void disconnected() {
                told[0] = true;
              }

              @Override
              public void stopping() {
                // Not part of this test.
              }
            });
    channel.close();
    assertThat(told[0]).isTrue();
  }

  @Test
  void drainClosesAfterTheCurrentResponse() {
    EmbeddedChannel channel = channel(false);
    write(channel, GET);
    drain.turnOn();
    answer("last");
    assertThat(written(channel)).contains("connection: close", "last");
    assertThat(channel.isOpen()).isFalse();
  }

  /** Every input ends in answers of the form of HTTP/1.1, and no body bytes stay accounted for. */
  @Property(seed = "7402", tries = 1_500, shrinking = ShrinkingMode.OFF)
  void mutatedRequestsGetWellFormedAnswersOrAClose(@ForAll long seed) {
    Random random = new Random(seed);
    String valid = GET + "POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + GET;
    byte[] input = valid.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = random.nextInt(8); i > 0; i--) {
      input[random.nextInt(input.length)] = (byte) random.nextInt();
    }
    EmbeddedChannel channel = channel(true);
    int cut = random.nextInt(input.length);
    write(channel, Arrays.copyOf(input, cut));
    if (channel.isOpen()) {
      write(channel, Arrays.copyOfRange(input, cut, input.length));
    }
    String answers = written(channel);
    assertThat(answers.isEmpty() || answers.startsWith("HTTP/1.1 ")).isTrue();
    channel.finishAndReleaseAll();
    assertThat(held.held()).isZero();
  }
}
