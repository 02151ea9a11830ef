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

  private void list(long version, long nowNanos, ListedServer... servers) {
    table.applyList(version, List.of(servers), nowNanos);
  }

  /** Guards against work for a server that only the list knows. */
  @Test
  void listedServerIsUsedOnceItReportsItself() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    assertThat(table.usableServers(0)).isEmpty();
    assertThat(table.knownServers(0)).hasSize(1);
    report(1, false, 0);
    assertThat(table.state(ID, 0)).isEqualTo(ServerState.LIVE);
    assertThat(table.usableServers(0)).hasSize(1);
  }

  /** Guards against a leaving server that returns because older evidence arrives later. */
  @Test
  void leavingSticksToTheIncarnation() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(5, false, 0);
    table.observe(new ServerEvidence.LeavingRefusal(ID, new Incarnation(5)), 1);
    report(5, false, 2);
    report(4, false, 3);
    list(2, 4, listed("engine-1", "10.0.0.1:80", false));
    assertThat(table.state(ID, 5)).isEqualTo(ServerState.LEAVING);
    report(6, false, 6);
    assertThat(table.state(ID, 7)).isEqualTo(ServerState.LIVE);
    table.observe(new ServerEvidence.LeavingRefusal(ID, new Incarnation(5)), 8);
    assertThat(table.state(ID, 9)).isEqualTo(ServerState.LIVE);
  }

  /** Guards against a new incarnation that is taken for leaving because the list lags. */
  @Test
  void laggingListDoesNotDrainTheSuccessor() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    report(2, false, SECOND);
    list(2, 2 * SECOND, listed("engine-1", "10.0.0.1:80", true));
    assertThat(table.state(ID, 2 * SECOND)).isEqualTo(ServerState.LIVE);
  }

  /** Guards against a router that starts with a lagging list and never uses a restarted server. */
  @Test
  void leavingByTheListAloneEndsWithANewerList() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", true));
    report(2, false, 0);
    assertThat(table.state(ID, 0)).isEqualTo(ServerState.LEAVING);
    assertThat(table.digests(0)).isEmpty();
    list(2, SECOND, listed("engine-1", "10.0.0.1:80", false));
    assertThat(table.state(ID, SECOND)).isEqualTo(ServerState.LIVE);
  }

  /** Guards against a list of a lagging replica that undoes a newer one. */
  @Test
  void olderListIsIgnored() {
    list(7, 0, listed("engine-1", "10.0.0.1:80", true));
    list(6, 1, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 2);
    assertThat(table.state(ID, 2)).isEqualTo(ServerState.LEAVING);
  }

  /** Guards against work for a server that cannot be heard, which may be leaving. */
  @Test
  void silentServerGetsNothingAfterThreeSeconds() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    assertThat(table.state(ID, 3 * SECOND - 1)).isEqualTo(ServerState.LIVE);
    assertThat(table.state(ID, 3 * SECOND)).isEqualTo(ServerState.SILENT);
  }

  /** Guards against a server that stays known after it left the list and fell silent. */
  @Test
  void absentAndSilentServerIsGoneAndForgottenLater() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    list(2, SECOND);
    assertThat(table.state(ID, 2 * SECOND)).isEqualTo(ServerState.LIVE);
    assertThat(table.state(ID, 3 * SECOND)).isEqualTo(ServerState.GONE);
    table.tick(3 * SECOND);
    assertThat(table.size()).isEqualTo(1);
    table.tick(601 * SECOND);
    assertThat(table.size()).isZero();
  }

  /** Guards against reports from an address that now belongs to another server. */
  @Test
  void addressTakenOverMakesTheFormerServerGone() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    report(1, false, 0);
    list(2, SECOND, listed("engine-2", "10.0.0.1:80", false));
    report(9, false, SECOND);
    assertThat(table.state(ID, SECOND)).isEqualTo(ServerState.GONE);
  }

  /** Guards against a word that peers pass on to each other and that never grows old. */
  @Test
  void peersPassOnOnlyWhatTheServerToldThem() {
    list(1, 0, listed("engine-1", "10.0.0.1:80", false));
    table.observe(new ServerEvidence.PeerDigest(ID, new Incarnation(1), false, 0), 0);
    assertThat(table.state(ID, 0)).isEqualTo(ServerState.LIVE);
    assertThat(table.digests(0)).isEmpty();
    report(1, false, 0);
    assertThat(table.digests(SECOND))
        .containsExactly(new ServerEvidence.PeerDigest(ID, new Incarnation(1), false, SECOND));
  }
}
