package org.pollenrock.core.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream of unknown origin that goes on at the version that serves now although it
 * may have begun at another one, and against refusals while there was only one.
 */
class SoftwareHistoryTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long STREAM = 12 * SECOND;
  private static final String SERVICE = "llm";

  private final SoftwareHistory history = new SoftwareHistory();

  private boolean isSettled(long nanos) {
    return history.settledVersion(SERVICE, STREAM, nanos).isPresent();
  }

  @Test
  void oneVersionIsSettledOnlyAfterAllStreamsOfOthersHaveEnded() {
    history.applyListed(SERVICE, Set.of("v1"), 0);
    assertThat(isSettled(2 * STREAM)).isFalse();
    assertThat(history.settledVersion(SERVICE, STREAM, 30 * SECOND)).contains("v1");
    assertThat(history.settledVersion(SERVICE, 20 * SECOND, 30 * SECOND)).isEmpty();
    history.applyListed(SERVICE, Set.of("v1", "v2"), 40 * SECOND);
    assertThat(isSettled(400 * SECOND)).isFalse();
    history.applyListed(SERVICE, Set.of("v2"), 500 * SECOND);
    assertThat(isSettled(529 * SECOND)).isFalse();
    assertThat(history.settledVersion(SERVICE, STREAM, 530 * SECOND)).contains("v2");
  }

  /** Entries lapse while the list can't be written, and come back. */
  @Test
  void serviceWithoutServersKeepsItsVersions() {
    history.applyListed(SERVICE, Set.of("v1"), 0);
    assertThat(history.applyListed(SERVICE, Set.of(), 31 * SECOND)).isFalse();
    assertThat(history.applyListed(SERVICE, Set.of("v1"), 32 * SECOND)).isFalse();
    assertThat(isSettled(32 * SECOND)).isTrue();
    assertThat(history.applyListed(SERVICE, Set.of("v2"), 33 * SECOND)).isTrue();
    assertThat(isSettled(33 * SECOND)).isFalse();
  }

  /** All instances may have ended while the servers of the older version left. */
  @Test
  void instanceThatStartsIsSettledOnlyIfTheStoreHasTheVersionsThatItSees() {
    history.applyListed(SERVICE, Set.of("v2"), 0);
    assertThat(
            history.applyStored(
                SERVICE, new SoftwareHistory.Listing(Set.of("v1", "v2"), -100 * SECOND, false)))
        .isFalse();
    assertThat(isSettled(SECOND)).isFalse();
    assertThat(
            history.applyStored(
                SERVICE, new SoftwareHistory.Listing(Set.of("v2"), -100 * SECOND, false)))
        .isTrue();
    assertThat(isSettled(SECOND)).isTrue();
  }

  /** Another instance may have seen a second version that came and went. */
  @Test
  void laterTimeOfTheStoreCounts() {
    history.applyListed(SERVICE, Set.of("v1"), 0);
    history.applyStored(SERVICE, new SoftwareHistory.Listing(Set.of("v1"), 20 * SECOND, false));
    assertThat(isSettled(40 * SECOND)).isFalse();
    assertThat(isSettled(50 * SECOND)).isTrue();
  }

  /** At its first start a fleet must not refuse streams for half a minute. */
  @Test
  void firstVersionIsSettledAtOnceUntilAnotherFollows() {
    history.applyListed(SERVICE, Set.of("v1"), 0);
    history.recordFirst(SERVICE);
    assertThat(isSettled(0)).isTrue();
    assertThat(history.needsOrigins(SERVICE, STREAM, 0)).isTrue();
    assertThat(history.needsOrigins(SERVICE, STREAM, 30 * SECOND)).isFalse();
    history.applyListed(SERVICE, Set.of("v1", "v2"), 40 * SECOND);
    history.applyListed(SERVICE, Set.of("v1"), 41 * SECOND);
    assertThat(isSettled(42 * SECOND)).isFalse();
    assertThat(history.needsOrigins(SERVICE, STREAM, 42 * SECOND)).isTrue();
  }

  /** A server may be listed and removed again between two looks at the list. */
  @Test
  void versionThatCameAndWentCounts() {
    assertThat(history.applyVersion(SERVICE, "v1", 0)).isFalse();
    history.applyListed(SERVICE, Set.of("v1"), 0);
    history.recordFirst(SERVICE);
    assertThat(history.applyVersion(SERVICE, "v1", 40 * SECOND)).isFalse();
    assertThat(isSettled(40 * SECOND)).isTrue();
    assertThat(history.applyVersion(SERVICE, "v2", 40 * SECOND)).isTrue();
    assertThat(isSettled(40 * SECOND)).isFalse();
    history.applyListed(SERVICE, Set.of("v1"), 40 * SECOND);
    assertThat(isSettled(69 * SECOND)).isFalse();
    assertThat(isSettled(70 * SECOND)).isTrue();
  }

  /** After a gap in the list only what the store has kept tells that no other version served. */
  @Test
  void versionsAreSettledAfterAGapOnlyIfTheStoreTellsSo() {
    SoftwareHistory.Listing stored = new SoftwareHistory.Listing(Set.of("v1"), 0, true);
    history.applyListed(SERVICE, Set.of("v1"), 0);
    history.recordFirst(SERVICE);
    history.recordGap(100 * SECOND);
    assertThat(isSettled(100 * SECOND)).isFalse();
    assertThat(history.applyStored(SERVICE, stored)).isTrue();
    assertThat(isSettled(100 * SECOND)).isTrue();
  }
}
