package org.pollenrock.core.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.InstanceId;

class SnapshotTest {
  private static final List<InstanceId> ROUTERS =
      Stream.of("r1", "r2", "r3", "r4").map(InstanceId::new).toList();

  /** Guards against state that is lost on the way through a snapshot. */
  @Property(seed = "7108", tries = 100, shrinking = ShrinkingMode.FULL)
  void snapshotReadsBack(@ForAll long seed) {
    SettingsHistory history =
        SettingsFixtures.read(SettingsFixtures.randomLog(new Random(seed), 40));
    SettingsSnapshot snapshot = history.snapshot();
    assertThat(SnapshotCodec.decode(SnapshotCodec.encode(snapshot))).contains(snapshot);
  }

  /** Guards against a damaged snapshot that is taken over or throws. */
  @Property(seed = "7109", tries = 500, shrinking = ShrinkingMode.FULL)
  void damagedSnapshotIsRejected(@ForAll long seed) {
    Random random = new Random(seed);
    SettingsHistory history = SettingsFixtures.read(SettingsFixtures.randomLog(random, 10));
    SnapshotPart part = SnapshotCodec.encode(history.snapshot()).getFirst();
    byte[] data = part.data().clone();
    data[random.nextInt(data.length)] ^= (byte) (1 + random.nextInt(255));
    SnapshotPart damaged = new SnapshotPart(part.next(), part.checksum(), 0, 1, data);
    assertThat(SnapshotCodec.decode(List.of(damaged))).isEmpty();
  }

  /** Guards against parts that are joined in the wrong order or from different snapshots. */
  @Test
  void assemblerCompletesOnlyMatchingParts() {
    SnapshotAssembler assembler = new SnapshotAssembler();
    SnapshotPart first = new SnapshotPart(9, 5, 0, 2, new byte[] {1});
    SnapshotPart second = new SnapshotPart(9, 5, 1, 2, new byte[] {2});
    assertThat(assembler.add(second)).isEmpty();
    assertThat(assembler.add(new SnapshotPart(9, 6, 0, 2, new byte[] {3}))).isEmpty();
    assertThat(assembler.add(first)).contains(List.of(first, second));
  }

  /** Guards against a log without a snapshot, and against all routers writing one at once. */
  @Test
  void oneRouterWritesAtOnceAndTheOthersAfterIt() {
    SettingsHistory history = SettingsFixtures.read(SettingsFixtures.randomLog(new Random(3), 9));
    List<SnapshotSchedule> schedules =
        ROUTERS.stream().map(router -> new SnapshotSchedule(router, 1_000)).toList();
    for (int rank = 0; rank < ROUTERS.size(); rank++) {
      long now = rank * SnapshotSchedule.RANK_DELAY_NANOS;
      assertThat(schedules.stream().filter(one -> one.shouldWrite(history, 9, ROUTERS, now)))
          .hasSize(1);
    }
    long offset = history.next();
    for (SnapshotPart part : SnapshotCodec.encode(history.snapshot())) {
      LogRecord entry = new LogRecord(offset, 10, SettingsCodec.encode(part));
      history.apply(new LogBatch(offset, ++offset, List.of(entry)));
    }
    SnapshotSchedule schedule = schedules.getFirst();
    assertThat(schedule.shouldWrite(history, 259, ROUTERS, 0)).isFalse();
    long late = ROUTERS.size() * SnapshotSchedule.RANK_DELAY_NANOS;
    boolean atOnce = schedule.shouldWrite(history, 260, ROUTERS, 0);
    assertThat(schedule.shouldWrite(history, 260, ROUTERS, late)).isNotEqualTo(atOnce);
    assertThat(schedule.shouldWrite(history, 260, ROUTERS, 4 * late)).isTrue();
  }

  /** Guards against a start that takes the first, lagging peer for the newest. */
  @Test
  void startWaitsForAllPeersWhenTheLogFails() {
    SettingsStartup startup = new SettingsStartup(List.of("a", "b"), 0, 100);
    startup.logFailed();
    startup.peerDone("a");
    assertThat(startup.phase(5, 50)).isEqualTo(SettingsStartup.Phase.COLLECTING);
    startup.peerDone("b");
    assertThat(startup.phase(7, 60)).isEqualTo(SettingsStartup.Phase.READY);
  }

  /** Guards against a router that claims to be ready without settings, or waits without end. */
  @Test
  void startWithoutAnySettingsIsUnavailableAfterThePatience() {
    SettingsStartup startup = new SettingsStartup(List.of("a"), 0, 100);
    assertThat(startup.phase(-1, 99)).isEqualTo(SettingsStartup.Phase.COLLECTING);
    assertThat(startup.phase(-1, 100)).isEqualTo(SettingsStartup.Phase.UNAVAILABLE);
    assertThat(startup.phase(0, 101)).isEqualTo(SettingsStartup.Phase.READY);
  }
}
