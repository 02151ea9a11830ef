package org.pollenrock.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.InMemoryLog;

class LeaseTableTest {
  private static final LeaseOwner FIRST = owner("a", 1);
  private static final LeaseOwner SECOND = owner("b", 1);
  private final InMemoryLog log = new InMemoryLog(0);

  private static LeaseOwner owner(String name, long incarnation) {
    return new LeaseOwner(new InstanceId(name), new Incarnation(incarnation));
  }

  private void acquire(LeaseOwner owner, long timeMillis) {
    log.timeMillis(timeMillis);
    log.append(LeaseCodec.encode(new LeaseRecord.Acquire("g", owner, 1, 1_000)));
  }

  private List<LeaseTable.Result> verdicts(LeaseTable table) {
    return table.apply(log.read(table.nextOffset(), 100)).stream()
        .map(LeaseTable.AppliedRecord::result)
        .toList();
  }

  /** Guards against an expiry that is decided by anything but the times of the records. */
  @Test
  void recordTimesDecideWhoHoldsTheLease() {
    acquire(FIRST, 100);
    acquire(SECOND, 1_099);
    acquire(FIRST, 1_099);
    acquire(SECOND, 2_099);
    LeaseTable table = new LeaseTable();
    assertThat(verdicts(table))
        .containsExactly(
            LeaseTable.Result.GRANTED,
            LeaseTable.Result.REFUSED,
            LeaseTable.Result.RENEWED,
            LeaseTable.Result.GRANTED);
    assertThat(table.currentLease("g").orElseThrow().fencingNumber())
        .isEqualTo(new FencingNumber(3));
    assertThat(table.currentLease("g").orElseThrow().owner()).isEqualTo(SECOND);
  }

  /** Guards against a restarted router that inherits the lease of its paused predecessor. */
  @Test
  void anotherIncarnationIsAnotherOwner() {
    acquire(FIRST, 100);
    acquire(owner("a", 2), 500);
    assertThat(verdicts(new LeaseTable()))
        .containsExactly(LeaseTable.Result.GRANTED, LeaseTable.Result.REFUSED);
  }

  /** Guards against a grant that a router with a truncated history believes and others do not. */
  @Test
  void truncatedHistoryIsUncertainForTheLongestDuration() {
    acquire(FIRST, 100);
    acquire(SECOND, 200);
    log.truncate(1);
    LeaseTable table = new LeaseTable();
    assertThat(verdicts(table)).containsExactly(LeaseTable.Result.UNCERTAIN);
    acquire(SECOND, 200 + LeaseTable.MAX_DURATION_MILLIS - 1);
    acquire(SECOND, 200 + LeaseTable.MAX_DURATION_MILLIS);
    assertThat(verdicts(table))
        .containsExactly(LeaseTable.Result.UNCERTAIN, LeaseTable.Result.GRANTED);
  }

  /** Guards against a reader that stops at a corrupt, foreign or later record. */
  @Test
  void corruptAndUnknownRecordsAreSkippedAndCounted() {
    byte[] corrupt = LeaseCodec.encode(new LeaseRecord.Acquire("g", FIRST, 1, 1_000));
    corrupt[corrupt.length - 1] ^= 1;
    log.append(corrupt);
    log.append(new org.pollenrock.core.record.RecordWriter().writeInt(7).toFrame(200));
    log.append(new byte[] {1, 2, 3});
    acquire(SECOND, 5);
    LeaseTable table = new LeaseTable();
    assertThat(verdicts(table)).containsExactly(LeaseTable.Result.GRANTED);
    assertThat(table.codec().corruptFrames()).isEqualTo(2);
    assertThat(table.codec().unknownTypes()).isEqualTo(1);
  }

  /** Guards against groups of the past that are kept for ever. */
  @Test
  void expiredGroupsAreSweptAboveTheBound() {
    for (int i = 0; i < LeaseTable.GROUPS_BEFORE_SWEEP; i++) {
      log.append(LeaseCodec.encode(new LeaseRecord.Acquire("group-" + i, FIRST, i, 1_000)));
    }
    acquire(FIRST, 2 * LeaseTable.MAX_DURATION_MILLIS);
    LeaseTable table = new LeaseTable();
    table.apply(log.read(0, Integer.MAX_VALUE));
    assertThat(table.groupCount()).isEqualTo(1);
  }
}
