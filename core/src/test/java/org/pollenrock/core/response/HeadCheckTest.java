package org.pollenrock.core.response;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against heads that are those of two responses, and against false alarms. */
class HeadCheckTest {
  private final HeadCheck check = new HeadCheck(List.of("attempt-id"));

  private Optional<HeadFault> find(String name, String value) {
    return check.find(
        200, "OK", List.of(Map.entry("Attempt-Id", "a1"), Map.entry(name, value)).iterator());
  }

  @Test
  void headOfOneResponseHasNoFault() {
    assertThat(find("Content-Length", "4")).isEmpty();
    assertThat(find("Transfer-Encoding", " Chunked")).isEmpty();
    assertThat(find("X-Note", "HTTP/1.1 is a protocol\t")).isEmpty();
  }

  @Test
  void faultsAreFound() {
    assertThat(find("HTTP/1.1", "")).contains(HeadFault.FIELD_NAME);
    assertThat(find("", "x")).contains(HeadFault.FIELD_NAME);
    assertThat(find("Date", "SatHTTP/1.1 500 Oops")).contains(HeadFault.SECOND_STATUS_LINE);
    assertThat(find("Date", "Sat\rx")).contains(HeadFault.CONTROL_CHARACTER);
    assertThat(find("ATTEMPT-ID", "a1")).contains(HeadFault.REPEATED_FIELD);
    assertThat(find("Transfer-Encoding", "gzip, chunked")).contains(HeadFault.TRANSFER_CODING);
  }

  @Test
  void faultsOfTheStatusLineAreFound() {
    Map<String, String> none = Map.of();
    assertThat(check.find(200, "OKHTTP/1.1 500 Oops", none.entrySet().iterator()))
        .contains(HeadFault.SECOND_STATUS_LINE);
    assertThat(check.find(101, "Switching", none.entrySet().iterator())).contains(HeadFault.STATUS);
    assertThat(check.find(600, "", none.entrySet().iterator())).contains(HeadFault.STATUS);
  }
}
