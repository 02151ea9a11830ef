package org.pollenrock.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ServerRole;

class ServerTableTest {
  private static final long SECOND = 1_000_000_000L;
  private static final BackendServerId ID = new BackendServerId("engine-1");
  private final ServerTable table = new ServerTable(MembershipSettings.defaults());

  static ListedServer listed(String name, String address, boolean leaving) {
    return new ListedServer(
        new BackendServerId(name),
        ServerRole.MODEL_SERVER,
        "",
        address,
        new DataCentreId("ubungo"),
        leaving);
  }

  private void report(long incarnation, boolean leaving, long nowNanos) {
    table.observe(new ServerEvidence.Report(ID, new Incarnation(incarnation), leaving), nowNanos);
  }

  private void applyList(long version, long nowNanos, ListedServer... servers) {
    table.applyList(version, List.of(servers), nowNanos);
  }

  /** Guards against requests to a server that is in the list but has not reported yet. */
  @Test
  void listedServerIsUsableAfterItsFirstReport() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    assertThat(table.usableServers(0)).isEmpty();
    assertThat(table.knownServers(0)).hasSize(1);
    report(1, false, 0);
    assertThat(table.state(ID, 0)).isEqualTo(ServerState.LIVE);
    assertThat(table.usableServers(0)).hasSize(1);
  }

  /**
   * Guards against a leaving server that becomes usable again because older evidence arrives late.
   */
  @Test
  void leavingStateLastsForTheIncarnation() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(5, false, 0);
    table.observe(new ServerEvidence.LeavingRefusal(ID, new Incarnation(5)), 1);
    report(5, false, 2);
    report(4, false, 3);
    applyList(2, 4, listed("engine-1", "10.0.0.1:80", false));
    assertThat(table.state(ID, 5)).isEqualTo(ServerState.LEAVING);
    report(6, false, 6);
    assertThat(table.state(ID, 7)).isEqualTo(ServerState.LIVE);
    table.observe(new ServerEvidence.LeavingRefusal(ID, new Incarnation(5)), 8);
    assertThat(table.state(ID, 9)).isEqualTo(ServerState.LIVE);
  }

  /**
   * Guards against a new incarnation that counts as leaving because the list lags behind and marks
   * the earlier one.
   */
  @Test
  void laggingListDoesNotDrainARestartedServer() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    report(2, false, SECOND);
    applyList(2, 2 * SECOND, listed("engine-1", "10.0.0.1:80", true));
    assertThat(table.state(ID, 2 * SECOND)).isEqualTo(ServerState.LIVE);
  }

  /**
   * Guards against a restarted server that is never used by a router that started with a lagging
   * list.
   */
  @Test
  void leavingStateFromTheListEndsWithANewerList() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", true));
    report(2, false, 0);
    assertThat(table.state(ID, 0)).isEqualTo(ServerState.LEAVING);
    assertThat(table.digests(0)).isEmpty();
    applyList(2, SECOND, listed("engine-1", "10.0.0.1:80", false));
    assertThat(table.state(ID, SECOND)).isEqualTo(ServerState.LIVE);
  }

  /** Guards against an older list, read from a lagging replica, that overwrites a newer one. */
  @Test
  void olderListIsIgnored() {
    applyList(7, 0, listed("engine-1", "10.0.0.1:80", true));
    applyList(6, 1, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 2);
    assertThat(table.state(ID, 2)).isEqualTo(ServerState.LEAVING);
  }

  /** Guards against requests to a server that cannot be reached and may be leaving. */
  @Test
  void serverIsSilentThreeSecondsAfterItsLastReport() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    assertThat(table.state(ID, 3 * SECOND - 1)).isEqualTo(ServerState.LIVE);
    assertThat(table.state(ID, 3 * SECOND)).isEqualTo(ServerState.SILENT);
  }

  /**
   * Guards against a server that stays in the table after it is absent from the list and silent.
   */
  @Test
  void unlistedSilentServerIsGoneAndRemovedLater() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    applyList(2, SECOND);
    assertThat(table.state(ID, 2 * SECOND)).isEqualTo(ServerState.LIVE);
    assertThat(table.state(ID, 3 * SECOND)).isEqualTo(ServerState.GONE);
    table.tick(3 * SECOND);
    assertThat(table.size()).isEqualTo(1);
    table.tick(601 * SECOND);
    assertThat(table.size()).isZero();
  }

  /**
   * Guards against a server that counts as usable because of reports from an address that the list
   * has given to another server.
   */
  @Test
  void serverIsGoneWhenItsAddressIsReassigned() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    applyList(2, SECOND, listed("engine-2", "10.0.0.1:80", false));
    report(9, false, SECOND);
    assertThat(table.state(ID, SECOND)).isEqualTo(ServerState.GONE);
  }

  /** Guards against reports that peers forward to each other without end and that never expire. */
  @Test
  void digestOfALiveServerRequiresADirectReport() {
    applyList(1, 0, listed("engine-1", "10.0.0.1:80", false));
    table.observe(new ServerEvidence.PeerDigest(ID, new Incarnation(1), false, 0), 0);
    assertThat(table.state(ID, 0)).isEqualTo(ServerState.LIVE);
    assertThat(table.digests(0)).isEmpty();
    report(1, false, 0);
    assertThat(table.digests(SECOND))
        .containsExactly(new ServerEvidence.PeerDigest(ID, new Incarnation(1), false, SECOND));
  }
}
