package org.pollenrock.core.response;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.pollenrock.core.response.BodyCheck.Verdict;

/** Guards against bodies that take their end from another response, and against false alarms. */
class BodyCheckTest {
  private static final String SECOND =
      "HTTP/1.1 500 Oops\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\ntrue";

  @Test
  void secondResponseThatBeginsAtAnyByteIsFound() {
    String whole = "x".repeat(30);
    for (int cut = 0; cut < whole.length(); cut++) {
      String received = whole.substring(0, cut) + SECOND;
      for (int split = 0; split <= whole.length(); split++) {
        BodyCheck check = new BodyCheck("a1");
        check.add(received.substring(0, split));
        check.add(received.substring(split, whole.length()));
        assertThat(check.isInDoubt()).as("cut %s", cut).isTrue();
        assertThat(check.judge(received.substring(whole.length())))
            .as("cut %s", cut)
            .isEqualTo(Verdict.BROKEN);
      }
    }
  }

  @Test
  void identifierAfterAStatusLineIsFoundInAnyTwoPieces() {
    for (int split = 0; split <= SECOND.length(); split++) {
      BodyCheck check = new BodyCheck("a1");
      check.add("text " + SECOND.substring(0, split));
      check.add(SECOND.substring(split));
      assertThat(check.containsSecondHead()).as("split %s", split).isTrue();
    }
  }

  @Test
  void identifierBeforeAStatusLineIsNoSecondHead() {
    BodyCheck check = new BodyCheck("a1");
    check.add("id: a1\r\n");
    check.add("HTTP/1.1 200 OK\r\nid: a2\r\n");
    assertThat(check.containsStatusLine()).isTrue();
    assertThat(check.containsSecondHead()).isFalse();
  }

  @Test
  void bodyIsWholeBeforeItsCopy() {
    BodyCheck check = new BodyCheck("a1");
    check.add("quote: HTTP/1.1 200 OK");
    assertThat(check.judge("HTTP")).isEqualTo(Verdict.UNDECIDED);
    assertThat(check.judge(SECOND.substring(0, BodyCheck.STATUS_LINE_LENGTH)))
        .isEqualTo(Verdict.WHOLE);
    assertThat(check.judge("other bytes ")).isEqualTo(Verdict.BROKEN);
  }

  @Test
  void bytesThatCannotBeginAStatusLineLeaveNoDoubt() {
    BodyCheck check = new BodyCheck("a1");
    check.add("HTTP/1.1 is a protocol, HTTP/x");
    assertThat(check.isInDoubt()).isFalse();
    assertThat(check.judge("other bytes ")).isEqualTo(Verdict.WHOLE);
  }
}
