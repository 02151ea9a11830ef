package org.pollenrock.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

class RouterTableTest {
  private static final long SECOND = 1_000_000_000L;
  private static final DataCentreId LOCAL_DATA_CENTRE = new DataCentreId("kurasini");
  private static final InstanceId SELF = new InstanceId("router-0");
  private static final InstanceId PEER = new InstanceId("router-1");
  private final RouterTable table =
      new RouterTable(SELF, LOCAL_DATA_CENTRE, 3, MembershipSettings.defaults());

  private static RouterHeartbeat heartbeat(long incarnation, long sequence) {
    return new RouterHeartbeat(
        PEER, new Incarnation(incarnation), LOCAL_DATA_CENTRE, sequence, 40 + sequence);
  }

  private static ListedRouter listed(InstanceId id) {
    return new ListedRouter(id, "10.0.0.9:70", LOCAL_DATA_CENTRE, false);
  }

  /** Guards against limit shares that increase on both sides of a network partition. */
  @Test
  void silentPeersCountForSharesWhileListed() {
    assertThat(table.limitShareCount(0)).as("before the first list").isEqualTo(4);
    table.applyList(1, List.of(listed(SELF), listed(PEER)));
    assertThat(table.limitShareCount(0)).isEqualTo(2);
    table.applyHeartbeat(heartbeat(1, 1), 0);
    assertThat(table.limitShareCount(60 * SECOND)).isEqualTo(2);
    assertThat(table.reachablePeers(60 * SECOND)).isEmpty();
    table.applyList(2, List.of(listed(SELF)));
    assertThat(table.limitShareCount(SECOND)).as("heartbeat still recent").isEqualTo(2);
    assertThat(table.limitShareCount(60 * SECOND)).isEqualTo(1);
  }

  /**
   * Guards against newer state that is overwritten by late heartbeats of an earlier incarnation.
   */
  @Test
  void lateAndRepeatedHeartbeatsAreIgnored() {
    assertThat(table.applyHeartbeat(heartbeat(2, 5), 0)).isTrue();
    assertThat(table.applyHeartbeat(heartbeat(2, 5), 1)).isFalse();
    assertThat(table.applyHeartbeat(heartbeat(1, 9), 1)).isFalse();
    assertThat(table.applyHeartbeat(heartbeat(3, 1), 1)).isTrue();
    assertThat(table.settingsRevisions()).containsEntry(PEER, 41L);
  }

  /**
   * Guards against servers that are watched by no router or by two, and against reassignments that
   * are not needed when another router leaves.
   */
  @Test
  void eachServerKeepsItsOneWatcherWhenAnotherRouterLeaves() {
    List<InstanceId> allRouters =
        IntStream.range(0, 5).mapToObj(i -> new InstanceId("router-" + i)).toList();
    List<InstanceId> remainingRouters = allRouters.subList(0, 4);
    int[] serverCounts = new int[5];
    for (int i = 0; i < 1_000; i++) {
      BackendServerId server = new BackendServerId("engine-" + i);
      InstanceId watcher = WatchAssignment.rank(server.value(), allRouters, 1).getFirst();
      long watchers =
          allRouters.stream().filter(r -> WatchAssignment.watches(r, server, allRouters)).count();
      assertThat(watchers).isEqualTo(1);
      serverCounts[allRouters.indexOf(watcher)]++;
      if (!watcher.equals(allRouters.get(4))) {
        assertThat(WatchAssignment.rank(server.value(), remainingRouters, 1))
            .containsExactly(watcher);
      }
    }
    // 1,000 servers over 5 routers give 200 each; five standard deviations are 64.
    assertThat(IntStream.of(serverCounts).boxed().toList())
        .allSatisfy(count -> assertThat(count).isBetween(136, 264));
    long tailers =
        allRouters.stream().filter(r -> WatchAssignment.tails(r, "claims", allRouters)).count();
    assertThat(tailers).isEqualTo(WatchAssignment.TAILERS_PER_STREAM);
  }

  /** Guards against work that is assigned to routers that are leaving or unreachable. */
  @Test
  void activeRoutersAreTheReachablePeersOfTheDataCentre() {
    table.applyHeartbeat(heartbeat(1, 1), 0);
    assertThat(table.activeLocalRouters(SECOND)).containsExactly(SELF, PEER);
    assertThat(table.activeLocalRouters(2 * SECOND)).containsExactly(SELF);
    table.applyList(1, List.of(new ListedRouter(PEER, "10.0.0.9:70", LOCAL_DATA_CENTRE, true)));
    assertThat(table.activeLocalRouters(SECOND)).containsExactly(SELF);
  }
}
