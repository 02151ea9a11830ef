package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are taken for another one, above all for one of another customer.
 */
class RequestFingerprintTest {
  private static long hash(String customer, String target, String body) {
    return new RequestFingerprint(customer, target, () -> ByteBuffer.wrap(body.getBytes())).hash();
  }

  @Test
  void customerTargetAndBodyEachTellRequestsApart() {
    long hash = hash("customer", "/a/b", "body");
    assertThat(hash).isEqualTo(hash("customer", "/a/b", "body"));
    assertThat(hash)
        .isNotEqualTo(hash("customer2", "/a/b", "body"))
        .isNotEqualTo(hash("customer", "/a/c", "body"))
        .isNotEqualTo(hash("customer", "/a/b", "bodz"));
  }

  @Test
  void textThatMovesFromOneFieldToAnotherGivesAnotherHash() {
    assertThat(hash("ab", "c", "d")).isNotEqualTo(hash("a", "bc", "d"));
    assertThat(hash("a", "bc", "d")).isNotEqualTo(hash("a", "b", "cd"));
  }

  @Test
  void customersBeyondLatin1AreToldApart() {
    assertThat(hash("Ā", "/", "")).isNotEqualTo(hash("Ă", "/", ""));
  }
}
