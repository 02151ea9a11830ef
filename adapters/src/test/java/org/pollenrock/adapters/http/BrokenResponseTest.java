package org.pollenrock.adapters.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards callers against answers that a faulty server breaks off, begins again or sends twice. */
class BrokenResponseTest {
  private final TransportBed bed = new TransportBed();

  @AfterEach
  void stop() {
    bed.close();
  }

  private static String success(String id) {
    return "HTTP/1.1 200 OK\r\nDate: Sat\r\nX-Incarnation: 7\r\nX-Weights-Version: v1\r\n"
        + "X-Attempt-Id: "
        + id
        + "\r\nContent-Type: text/plain\r\nContent-Length: 400\r\n\r\n"
        + "0123456789".repeat(40);
  }

  private static String chunked(String id) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
        + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n190\r\n"
        + "0123456789".repeat(40)
        + "\r\n5\r\nabcde\r\n0\r\n\r\n";
  }

  /**
   * Statuses of the answers that were taken for whole, by the byte at which the first breaks off.
   */
  private List<String> taken(UnaryOperator<String> first, UnaryOperator<String> second)
      throws IOException {
    List<String> taken = new ArrayList<>();
    int length = first.apply("router/1/1").length();
    for (int cut = 1; cut < length; cut++) {
      int bytes = cut;
      try (ScriptedServer server =
          new ScriptedServer(
              (connection, exchange, request, out) -> {
                String id = ScriptedServer.header(request, TransportBed.ID);
                String text = first.apply(id).substring(0, bytes) + second.apply(id);
                TransportBed.write(out, text);
                return false;
              })) {
        if (bed.call(server) instanceof HttpOutcome.Answered answer) {
          taken.add(cut + ":" + answer.status());
        }
      }
    }
    return taken;
  }

  /** Guards against a success whose server broke it off and answered with a failure. */
  @ParameterizedTest
  @ValueSource(ints = {500, 503, 409, 429})
  void answerThatBeginsTwiceIsBroken(int status) throws IOException {
    assertThat(taken(BrokenResponseTest::success, id -> TransportBed.whole(status, id))).isEmpty();
  }

  /** Guards against a chunk that holds the head of another answer. */
  @Test
  void chunkedAnswerThatBeginsTwiceIsBroken() throws IOException {
    assertThat(taken(BrokenResponseTest::chunked, id -> TransportBed.whole(500, id))).isEmpty();
  }

  /** Guards against a refusal that holds the beginning of another answer. */
  @Test
  void refusalThatBeginsTwiceIsBroken() throws IOException {
    assertThat(taken(id -> TransportBed.whole(503, id), BrokenResponseTest::success)).isEmpty();
  }

  /** Guards against a body that the first part of another answer fills up to its length. */
  @Test
  void answerThatIsFilledUpByTheFirstPartOfAnotherIsBroken() throws IOException {
    List<String> taken = new ArrayList<>();
    for (int missing : new int[] {5, 18, 25}) {
      for (int surplus : new int[] {1, 5, 12}) {
        try (ScriptedServer server =
            new ScriptedServer(
                (connection, exchange, request, out) -> {
                  String id = ScriptedServer.header(request, TransportBed.ID);
                  String first = success(id);
                  String second =
                      "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nX-Attempt-Id: "
                          + id
                          + "\r\nContent-Length: 0\r\n\r\n";
                  int written = missing + surplus;
                  TransportBed.write(
                      out,
                      first.substring(0, first.length() - missing) + second.substring(0, written));
                  LockSupport.parkNanos(50_000_000);
                  TransportBed.write(out, second.substring(written));
                  return false;
                })) {
          if (bed.call(server) instanceof HttpOutcome.Answered answer) {
            taken.add(missing + "+" + surplus + ":" + answer.status());
          }
        }
      }
    }
    assertThat(taken).isEmpty();
  }

  /** Guards against an empty or short body of a server that closed within its answer. */
  @Test
  void answerCutByACloseIsBroken() throws IOException {
    assertThat(taken(BrokenResponseTest::success, id -> "")).isEmpty();
    assertThat(taken(BrokenResponseTest::chunked, id -> "")).isEmpty();
  }
}
