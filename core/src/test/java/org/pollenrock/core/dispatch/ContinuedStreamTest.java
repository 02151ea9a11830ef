package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.origin.StreamOrigin;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.IgnoredAnnouncements;

/**
 * Guards against a stream that goes on at another software version than the one that began it, by
 * whatever way its request reaches a server.
 */
class ContinuedStreamTest {
  private static final StreamOrigin OLD = new StreamOrigin("llm", "v1");

  private final Fleet fleet = new Fleet();
  private final Dispatcher dispatcher =
      Fixtures.dispatcher(fleet, new CrashQuarantine(new IgnoredAnnouncements()), 50);

  private void list(String id, String software, boolean ready) {
    fleet.applyEntry(
        new ListedBackend(
            id,
            1,
            software,
            "llm",
            "10.0.0.1",
            8000,
            "near",
            32,
            ready,
            Map.of(Fixtures.MODEL, 1L)),
        0);
  }

  private static DispatchRequest begun(String id) {
    return Fixtures.request(id, Optional.of(Fixtures.prompt("p" + id, 1_000, 100)), 3, 0);
  }

  private static DispatchRequest continued(String id) {
    return begun(id).continuing(OLD);
  }

  private static String software(DispatchResult result) {
    return ((DispatchResult.Sent) result).choice().backend().entry().softwareVersion();
  }

  @Test
  void newAndRepeatedSendsGoToTheVersionOfTheStream() {
    dispatcher.setInstanceCount(1);
    list("old-1", "v1", true);
    list("old-2", "v1", true);
    for (int i = 0; i < 8; i++) {
      list("new-" + i, "v2", true);
    }
    for (int i = 0; i < 8; i++) {
      DispatchRequest request = continued("r" + i);
      assertThat(software(dispatcher.submit(request, 0))).isEqualTo("v1");
      assertThat(software(dispatcher.resubmit(request, Set.of("old-1"), true, 0))).isEqualTo("v1");
      assertThat(dispatcher.claimReplacement(request, Set.of("old-2"), 0))
          .map(chosen -> chosen.backend().entry().id())
          .contains("old-1");
    }
    assertThat(dispatcher.claimReplacement(continued("r"), Set.of("old-1", "old-2"), 0)).isEmpty();
  }

  @Test
  void streamWhoseVersionHasNoServerIsRefusedAtOnce() {
    list("old", "v1", false);
    list("new", "v2", true);
    assertThat(dispatcher.submit(continued("r"), 0))
        .isEqualTo(new DispatchResult.Refused(DispatchResult.Cause.NO_SERVER));
  }

  /** A stream waits for a server of its version only, and must not keep others waiting. */
  @Test
  void waitingStreamIsPassedByOthersAndLeavesTheQueueWithItsVersion() {
    list("old", "v1", true);
    List<Backend> busyServers = new ArrayList<>();
    while (dispatcher.submit(begun("fill"), 0) instanceof DispatchResult.Sent sent) {
      busyServers.add(sent.choice().backend());
    }
    dispatcher.submit(continued("stream"), 0);
    dispatcher.submit(begun("next"), 0);
    list("new", "v2", true);
    assertThat(dispatcher.dispatchWaiting("llm", 1))
        .extracting(released -> released.entry().request().id())
        .contains("next")
        .doesNotContain("stream");
    assertThat(busyServers).isNotEmpty();
    list("old", "v1", false);
    assertThat(dispatcher.removeUnserved("llm", 2))
        .extracting(entry -> entry.request().id())
        .containsExactly("stream");
  }
}
