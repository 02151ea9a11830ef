package org.pollenrock.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to removed servers, and against removing live servers whose entries
 * expired while the server list was unavailable.
 */
class FleetTest {
  private static final long MILLI = 1_000_000L;

  private final Fleet fleet = new Fleet();

  private static ListedBackend entry(String id, long startMillis, boolean ready) {
    return new ListedBackend(
        id, startMillis, "v1", "service", "10.0.0.1", 80, "dc", 8, ready, Map.of("model", 1L));
  }

  @Test
  void drainingServerIsOutOfUseImmediately() {
    fleet.applyEntry(entry("a", 1, true), 0);
    fleet.applyEntry(entry("b", 1, true), 0);
    assertThat(fleet.applyEntry(entry("a", 1, false), 1)).isTrue();
    assertThat(fleet.usableServers("service"))
        .extracting(backend -> backend.entry().id())
        .containsExactly("b");
    assertThat(fleet.all()).hasSize(2);
  }

  @Test
  void removedServerIsOutOfUseImmediatelyWhileTheListIsAvailable() {
    fleet.applyEntry(entry("a", 1, true), 0);
    assertThat(fleet.applyRemoval("a", 5)).isTrue();
    assertThat(fleet.usableServers("service")).isEmpty();
  }

  @Test
  void removalsAfterAListOutageAreDeferredUntilTheGracePeriodEnds() {
    fleet.applyEntry(entry("a", 1, true), 0);
    fleet.applyEntry(entry("b", 1, true), 0);
    fleet.markListUnavailable();
    fleet.markListAvailable(100 * MILLI, RelistGrace.REGISTRATION_NANOS);
    assertThat(fleet.applyRemoval("a", 200 * MILLI)).isFalse();
    assertThat(fleet.applyRemoval("b", 200 * MILLI)).isFalse();
    fleet.applyEntry(entry("b", 1, true), 900 * MILLI);
    assertThat(fleet.applyPendingRemovals(1_500 * MILLI)).isEmpty();
    assertThat(fleet.usableServers("service")).hasSize(2);
    assertThat(fleet.applyPendingRemovals(2_200 * MILLI)).containsExactly("a");
    assertThat(fleet.usableServers("service"))
        .extracting(backend -> backend.entry().id())
        .containsExactly("b");
  }

  @Test
  void fullListReplacesKnownServers() {
    fleet.applyEntry(entry("a", 1, true), 0);
    assertThat(fleet.hasReadList()).isFalse();
    fleet.applyFullList(List.of(entry("b", 1, true)), 1);
    assertThat(fleet.hasReadList()).isTrue();
    assertThat(fleet.usableServers("service"))
        .extracting(backend -> backend.entry().id())
        .containsExactly("b");
  }

  @Test
  void newIncarnationStartsWithoutStateOfThePreviousOne() {
    fleet.applyEntry(entry("a", 1, true), 0);
    Backend before = fleet.usableServers("service").get(0);
    before.recordWeightsVersion("model", 9);
    before.recordUnreachable(0);
    fleet.applyEntry(entry("a", 2, true), 1);
    Backend after = fleet.usableServers("service").get(0);
    assertThat(after).isNotSameAs(before);
    assertThat(after.weightsVersion("model")).hasValue(1);
    assertThat(after.isPaused(1)).isFalse();
    assertThat(after.isMissing()).isFalse();
    assertThat(fleet.findByIdHash(after.idHash())).containsSame(after);
  }

  /** A returned copy of the list may be from before a server reported that it drains. */
  @Test
  void drainingServerStaysOutOfUseWhenAnOlderListReturns() {
    fleet.applyEntry(entry("a", 1, true), 0);
    fleet.applyEntry(entry("a", 1, false), 1);
    fleet.markListRestored(2, RelistGrace.REGISTRATION_NANOS);
    fleet.applyFullList(List.of(entry("a", 1, true)), 3);
    assertThat(fleet.usableServers("service")).isEmpty();
    fleet.applyEntry(entry("a", 1, true), 2 + RelistGrace.REGISTRATION_NANOS);
    assertThat(fleet.usableServers("service")).hasSize(1);
  }

  /** A returned copy of the list may be from before a server was removed. */
  @Test
  void removedServerStaysOutOfUseWhenAnOlderListReturns() {
    fleet.applyEntry(entry("a", 1, true), 0);
    fleet.applyRemoval("a", 1);
    fleet.markListRestored(2, RelistGrace.REGISTRATION_NANOS);
    fleet.applyFullList(List.of(entry("a", 1, true)), 3);
    assertThat(fleet.all()).isEmpty();
    fleet.applyEntry(entry("a", 2, true), 4);
    assertThat(fleet.usableServers("service")).hasSize(1);
  }

  /** A returned copy of the list may be from before a server restarted. */
  @Test
  void restartedServerIsNotReplacedWhenAnOlderListReturns() {
    fleet.applyEntry(entry("a", 1, true), 0);
    fleet.applyEntry(entry("a", 2, true), 1);
    Backend restarted = fleet.usableServers("service").get(0);
    fleet.markListRestored(2, RelistGrace.REGISTRATION_NANOS);
    fleet.applyFullList(List.of(entry("a", 1, true)), 3);
    assertThat(fleet.usableServers("service")).containsExactly(restarted);
  }

  @Test
  void weightsVersionNeverDecreasesWithinAnIncarnation() {
    fleet.applyEntry(entry("a", 1, true), 0);
    Backend backend = fleet.usableServers("service").get(0);
    backend.recordWeightsVersion("model", 4);
    fleet.applyEntry(entry("a", 1, true), 1);
    assertThat(backend.weightsVersion("model")).hasValue(4);
  }

  @Test
  void misplacedServerIsOutOfUseUntilItsNextEntry() {
    fleet.applyEntry(entry("a", 1, true), 0);
    fleet.removeMisplaced(fleet.usableServers("service").get(0));
    assertThat(fleet.usableServers("service")).isEmpty();
    fleet.applyEntry(entry("a", 1, true), 1);
    assertThat(fleet.usableServers("service")).hasSize(1);
  }
}
