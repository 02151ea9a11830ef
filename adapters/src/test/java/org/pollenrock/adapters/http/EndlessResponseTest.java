package org.pollenrock.adapters.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards memory and other requests against a server whose bytes do not end. */
class EndlessResponseTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  /** Far above what one response may hold in memory, and what sockets and decoder buffer. */
  private static final long HELD_BYTES = 32L << 20;

  private final TransportBed bed = new TransportBed();

  @AfterEach
  void stop() {
    bed.close();
  }

  private static String[] flood(String kind) {
    return switch (kind) {
      case "status line" -> new String[] {"HTTP/1.1 200 ", "x".repeat(4_096)};
      case "value" -> new String[] {HEAD + "X: ", "x".repeat(4_096)};
      case "fields" -> new String[] {HEAD, "X-Field: value\r\n".repeat(256)};
      case "folded" -> new String[] {HEAD + "X: a\r\n", " folded\r\n".repeat(256)};
      case "interim" -> new String[] {"", "HTTP/1.1 102 Processing\r\n\r\n".repeat(128)};
      case "space" -> new String[] {"", "\r\n".repeat(2_048)};
      case "blanks" -> new String[] {"", " ".repeat(4_096)};
      case "extension" -> new String[] {CHUNKED + "5;", "x".repeat(4_096)};
      case "extensions" -> new String[] {CHUNKED, "1;a=b\r\nx\r\n".repeat(256)};
      case "size" -> new String[] {CHUNKED, "0".repeat(4_096)};
      case "trailer" -> new String[] {CHUNKED + "0\r\nX: ", "x".repeat(4_096)};
      case "trailers" -> new String[] {CHUNKED + "0\r\n", "X-Field: value\r\n".repeat(256)};
      case "body" -> new String[] {HEAD + "\r\n", "x".repeat(4_096)};
      case "long body" ->
          new String[] {HEAD + "Content-Length: 99999999999\r\n\r\n", "x".repeat(4_096)};
      case "line in body" -> new String[] {HEAD + "\r\n", "HTTP/1.1 200 ".repeat(256)};
      case "refusal" -> new String[] {"HTTP/1.1 503 No\r\n\r\n", "x".repeat(4_096)};
      default -> throw new IllegalArgumentException(kind);
    };
  }

  /** Guards against a process that ends because a server's bytes are kept without a bound. */
  @ParameterizedTest
  @CsvSource({
    "status line", "value", "fields", "folded", "interim", "space", "blanks", "extension",
    "extensions", "size", "trailer", "trailers", "body", "long body", "line in body", "refusal"
  })
  void endlessBytesFailTheirOwnExchangeOnly(String kind) throws IOException {
    String[] parts = flood(kind);
    AtomicLong most = new AtomicLong();
    try (ScriptedServer endless =
            new ScriptedServer(
                (connection, exchange, request, out) -> {
                  TransportBed.write(out, parts[0]);
                  while (true) {
                    TransportBed.write(out, parts[1]);
                    most.accumulateAndGet(held(), Math::max);
                  }
                });
        ScriptedServer sound =
            new ScriptedServer(
                (connection, exchange, request, out) -> {
                  String id = ScriptedServer.header(request, TransportBed.ID);
                  TransportBed.write(out, TransportBed.whole(200, id));
                  return true;
                })) {
      long before = held();
      CompletableFuture<HttpOutcome> flooded = bed.start(endless, ConnectionUse.ANY);
      for (int i = 0; i < 20; i++) {
        assertThat(bed.call(sound)).isInstanceOf(HttpOutcome.Answered.class);
      }
      assertThat(flooded.join()).isInstanceOf(HttpOutcome.Broken.class);
      assertThat(most.get() - before).isLessThan(HELD_BYTES);
    }
  }

  /** Guards against a process that ends because many bounded answers are held at once. */
  @Test
  void manyLargeAnswersStayWithinOneBound() throws IOException {
    CountDownLatch refused = new CountDownLatch(12);
    CountDownLatch release = new CountDownLatch(1);
    try (ScriptedServer large =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              TransportBed.write(out, HEAD + "Content-Length: 1000000\r\n\r\n");
              TransportBed.write(out, "x".repeat(999_999));
              ScriptedServer.await(release);
              TransportBed.write(out, "x");
              return false;
            })) {
      List<CompletableFuture<HttpOutcome>> calls = new ArrayList<>();
      for (int i = 0; i < 16; i++) {
        CompletableFuture<HttpOutcome> call = bed.start(large, ConnectionUse.ANY);
        call.thenRun(refused::countDown);
        calls.add(call);
      }
      ScriptedServer.await(refused);
      assertThat(bed.held().held()).isBetween(1L, 4L << 20);
      release.countDown();
      calls.forEach(CompletableFuture::join);
      assertThat(calls).filteredOn(call -> call.join() instanceof HttpOutcome.Answered).hasSize(4);
      assertThat(bed.held().held()).isZero();
    }
  }

  private static long held() {
    return PlatformDependent.usedDirectMemory();
  }
}
