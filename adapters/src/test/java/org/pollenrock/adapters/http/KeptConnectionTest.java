package org.pollenrock.adapters.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.adapters.log.HttpLogClient;
import org.pollenrock.core.error.Result;

/** Guards requests against copies of earlier answers on a connection that is kept. */
class KeptConnectionTest {
  /** Answers to no request; the last one would end the next request as refused. */
  private static final List<String> STRAYS =
      List.of(
          "HTTP/1.1 200 OK\r\nX-Server-State: live\r\nContent-Length: 2\r\n\r\n{}",
          "\r\nHTTP/1.1 503 A\r\nContent-Length: 0\r\n\r\n");

  /** Size of the buffer for the first read of a connection. */
  private static final int FIRST_READ_BYTES = 2_048;

  private final TransportBed bed = new TransportBed();

  @AfterEach
  void stop() {
    bed.close();
  }

  /** Guards against the copy of an earlier answer as the answer to the next request. */
  @Test
  void lateCopyOfAnEarlierAnswerIsBroken() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              TransportBed.write(out, TransportBed.whole(200, "router/1/1"));
              return true;
            })) {
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Broken.class);
    }
  }

  /** Guards against a copy that names no request, which can't be told from the next answer. */
  @Test
  void connectionOfAnAnswerWithoutIdentifierCarriesNoOtherRequest() throws IOException {
    String anonymous = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              TransportBed.write(out, anonymous);
              return true;
            })) {
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
      assertThat(server.connections()).isEqualTo(2);
    }
  }

  /** Guards against bytes behind an answer that become the beginning of the next one. */
  @Test
  void connectionWithBytesBehindTheAnswerCarriesNoOtherRequest() throws Exception {
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              TransportBed.write(
                  out, TransportBed.whole(200, ScriptedServer.header(request, TransportBed.ID)));
              if (exchange == 0) {
                pause();
                TransportBed.write(out, "HTTP/1.1 200 OK\r\nContent-Le");
              }
              return true;
            })) {
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
      Thread.sleep(300);
      assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
      assertThat(server.connections()).isEqualTo(2);
    }
  }

  /** Guards against the begin of a stray answer that was received with the end of the last one. */
  @Test
  void beginOfAStrayAnswerBehindTheLastOneIsNotTheBeginOfTheNext() throws Exception {
    for (String stray :
        List.of("HTTP/1.1 5", "HTTP/1.1 200 OK\r\nX-Serv", "\r\nHTTP/1.1 503 A\r\n")) {
      try (ScriptedServer server =
          new ScriptedServer(
              (connection, exchange, request, out) -> {
                String answer =
                    TransportBed.whole(200, ScriptedServer.header(request, TransportBed.ID));
                TransportBed.write(out, connection + exchange == 0 ? answer + stray : answer);
                return true;
              })) {
        assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
        Thread.sleep(100);
        assertThat(bed.call(server)).as(stray).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(server.connections()).isEqualTo(2);
      }
    }
  }

  /** Returns the begins of the stray answers, from the first byte to the whole. */
  private static List<String> begins() {
    return STRAYS.stream()
        .flatMap(
            stray ->
                IntStream.rangeClosed(1, stray.length())
                    .mapToObj(length -> stray.substring(0, length)))
        .toList();
  }

  /** Guards against each begin of a stray answer that was received with the end of the last one. */
  @Test
  void noByteBehindTheAnswerIsTakenForTheNextOne() throws Exception {
    for (String behind : begins()) {
      try (ScriptedServer server =
          new ScriptedServer(
              (connection, exchange, request, out) -> {
                String answer =
                    TransportBed.whole(200, ScriptedServer.header(request, TransportBed.ID));
                TransportBed.write(out, connection + exchange == 0 ? answer + behind : answer);
                return true;
              })) {
        HttpOutcome first = bed.call(server);
        if (!behind.contains("\r\n\r\n")) {
          assertThat(first).as(behind).isInstanceOf(HttpOutcome.Answered.class);
        }
        assertThat(bed.call(server)).as(behind).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(server.connections()).as(behind).isEqualTo(2);
      }
    }
  }

  /** Guards against bytes behind an answer that exactly filled the buffer of a read. */
  @Test
  void beginOfAStrayAnswerBehindAFullReadIsNotTheBeginOfTheNext() throws Exception {
    for (String stray : List.of("H", "HTTP/1.1 5", "\r\n")) {
      try (ScriptedServer server =
          new ScriptedServer(
              (connection, exchange, request, out) -> {
                String id = ScriptedServer.header(request, TransportBed.ID);
                String answer = answer(id, FIRST_READ_BYTES);
                TransportBed.write(out, connection + exchange == 0 ? answer + stray : answer);
                return true;
              })) {
        assertThat(bed.call(server)).as(stray).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(bed.call(server)).as(stray).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(server.connections()).as(stray).isEqualTo(2);
      }
    }
  }

  private static String answer(String id, int bytes) {
    String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: ";
    int bodyBytes = bytes - head.length() - "1000\r\n\r\n".length();
    return head + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
  }

  /** Guards against each begin of a stray answer that arrives while the connection is idle. */
  @Test
  void noByteOfAnIdleConnectionIsTakenForTheNextAnswer() throws Exception {
    for (String late : begins()) {
      CountDownLatch answered = new CountDownLatch(1);
      CountDownLatch closed = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (connection, exchange, request, out) -> {
                TransportBed.write(
                    out, TransportBed.whole(200, ScriptedServer.header(request, TransportBed.ID)));
                if (connection == 0) {
                  ScriptedServer.await(answered);
                  TransportBed.write(out, late);
                }
                return true;
              },
              closed::countDown)) {
        assertThat(bed.call(server)).as(late).isInstanceOf(HttpOutcome.Answered.class);
        answered.countDown();
        ScriptedServer.await(closed);
        assertThat(bed.call(server)).as(late).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(server.connections()).as(late).isEqualTo(2);
      }
    }
  }

  /** Guards against a stray answer that waits in the socket when the next request is made. */
  @Test
  void bytesThatWaitInTheSocketAreNotTakenForTheAnswer() throws Exception {
    for (String waiting : begins()) {
      AtomicInteger requestsBehindIt = new AtomicInteger();
      CountDownLatch answered = new CountDownLatch(1);
      CountDownLatch written = new CountDownLatch(1);
      CountDownLatch released = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (connection, exchange, request, out) -> {
                TransportBed.write(
                    out, TransportBed.whole(200, ScriptedServer.header(request, TransportBed.ID)));
                if (connection + exchange == 0) {
                  ScriptedServer.await(answered);
                  TransportBed.write(out, waiting);
                  written.countDown();
                } else if (connection == 0) {
                  requestsBehindIt.incrementAndGet();
                }
                return true;
              })) {
        assertThat(bed.call(server)).as(waiting).isInstanceOf(HttpOutcome.Answered.class);
        bed.holdLoopUntil(released);
        answered.countDown();
        ScriptedServer.await(written);
        CompletableFuture<HttpOutcome> next = bed.start(server, ConnectionUse.ANY);
        released.countDown();
        assertThat(next.join()).as(waiting).isInstanceOf(HttpOutcome.Broken.class);
        assertThat(bed.call(server)).as(waiting).isInstanceOf(HttpOutcome.Answered.class);
        assertThat(requestsBehindIt).as(waiting).hasValue(0);
      }
    }
  }

  /** Shows that a connection whose answers name their requests is kept. */
  @Test
  void connectionOfIdentifiedAnswersIsKept() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              TransportBed.write(
                  out, TransportBed.whole(200, ScriptedServer.header(request, TransportBed.ID)));
              return true;
            })) {
      for (int i = 0; i < 5; i++) {
        assertThat(bed.call(server)).isInstanceOf(HttpOutcome.Answered.class);
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }

  /** Guards against the copy of an earlier append's answer as that of one that never arrived. */
  @Test
  void appendIsNotAnsweredByACopyOfAnEarlierAnswer() throws IOException {
    String appended = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"offset\":7,\"time_ms\":1}";
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              if (connection == 0) {
                TransportBed.write(out, appended);
              }
              return connection == 0;
            })) {
      HttpLogClient log =
          new HttpLogClient(bed.transport(), server.address(), Duration.ofSeconds(1));
      assertThat(log.append("claims", new byte[1]).toCompletableFuture().join())
          .isInstanceOf(Result.Success.class);
      assertThat(log.append("claims", new byte[1]).toCompletableFuture().join())
          .isInstanceOf(Result.Failure.class);
    }
  }

  /** Guards against requests without an identifier, whose copies look like the next answer. */
  @Test
  void everyRequestHasAnIdentifierOfItsOwn() throws IOException {
    List<String> ids = new CopyOnWriteArrayList<>();
    try (ScriptedServer server =
        new ScriptedServer(
            (connection, exchange, request, out) -> {
              ids.add(ScriptedServer.header(request, TransportBed.ID));
              TransportBed.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
              return true;
            })) {
      HttpLogClient log =
          new HttpLogClient(bed.transport(), server.address(), Duration.ofSeconds(1));
      for (int i = 0; i < 3; i++) {
        log.append("claims", new byte[1]).toCompletableFuture().join();
      }
      assertThat(ids).doesNotContain("").doesNotHaveDuplicates().hasSize(3);
    }
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
