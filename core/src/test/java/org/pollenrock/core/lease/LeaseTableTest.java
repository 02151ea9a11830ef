package org.pollenrock.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.InMemoryLog;

class LeaseTableTest {
  private static final LeaseOwner OWNER_A = owner("a", 1);
  private static final LeaseOwner OWNER_B = owner("b", 1);
  private final InMemoryLog log = new InMemoryLog(0);

  private static LeaseOwner owner(String name, long incarnation) {
    return new LeaseOwner(new InstanceId(name), new Incarnation(incarnation));
  }

  private void acquire(LeaseOwner owner, long timeMillis) {
    log.timeMillis(timeMillis);
    log.append(LeaseCodec.encode(new LeaseRecord.Acquire("g", owner, 1, 1_000)));
  }

  private List<LeaseTable.RecordResult> applyNewRecords(LeaseTable table) {
    return table.apply(log.read(table.nextOffset(), 100)).stream()
        .map(LeaseTable.AppliedRecord::result)
        .toList();
  }

  /** Guards against an expiry that depends on anything but the log times of the records. */
  @Test
  void recordTimesDecideWhoHoldsTheLease() {
    acquire(OWNER_A, 100);
    acquire(OWNER_B, 1_099);
    acquire(OWNER_A, 1_099);
    acquire(OWNER_B, 2_099);
    LeaseTable table = new LeaseTable();
    assertThat(applyNewRecords(table))
        .containsExactly(
            LeaseTable.RecordResult.GRANTED,
            LeaseTable.RecordResult.REFUSED,
            LeaseTable.RecordResult.RENEWED,
            LeaseTable.RecordResult.GRANTED);
    assertThat(table.currentLease("g").orElseThrow().fencingNumber())
        .isEqualTo(new FencingNumber(3));
    assertThat(table.currentLease("g").orElseThrow().owner()).isEqualTo(OWNER_B);
  }

  /**
   * Guards against a restarted router that takes over the lease of its earlier incarnation, which
   * may only be paused.
   */
  @Test
  void anotherIncarnationIsAnotherOwner() {
    acquire(OWNER_A, 100);
    acquire(owner("a", 2), 500);
    assertThat(applyNewRecords(new LeaseTable()))
        .containsExactly(LeaseTable.RecordResult.GRANTED, LeaseTable.RecordResult.REFUSED);
  }

  /**
   * Guards against a grant that is valid for a router with a truncated history but not for the
   * others.
   */
  @Test
  void truncatedHistoryIsUncertainForTheMaximumDuration() {
    acquire(OWNER_A, 100);
    acquire(OWNER_B, 200);
    log.truncate(1);
    LeaseTable table = new LeaseTable();
    assertThat(applyNewRecords(table)).containsExactly(LeaseTable.RecordResult.UNCERTAIN);
    acquire(OWNER_B, 200 + LeaseTable.MAX_DURATION_MILLIS - 1);
    acquire(OWNER_B, 200 + LeaseTable.MAX_DURATION_MILLIS);
    assertThat(applyNewRecords(table))
        .containsExactly(LeaseTable.RecordResult.UNCERTAIN, LeaseTable.RecordResult.GRANTED);
  }

  /**
   * Guards against a reader that stops at a corrupt record, at one of another type or at bytes that
   * are no frame.
   */
  @Test
  void corruptAndUnknownRecordsAreSkippedAndCounted() {
    byte[] corrupt = LeaseCodec.encode(new LeaseRecord.Acquire("g", OWNER_A, 1, 1_000));
    corrupt[corrupt.length - 1] ^= 1;
    log.append(corrupt);
    log.append(new org.pollenrock.core.record.RecordWriter().writeInt(7).toFrame(200));
    log.append(new byte[] {1, 2, 3});
    acquire(OWNER_B, 5);
    LeaseTable table = new LeaseTable();
    assertThat(applyNewRecords(table)).containsExactly(LeaseTable.RecordResult.GRANTED);
    assertThat(table.codec().corruptFrames()).isEqualTo(2);
    assertThat(table.codec().unknownTypes()).isEqualTo(1);
  }

  /** Guards against memory that grows because expired groups are never removed. */
  @Test
  void expiredGroupsAreRemovedAboveTheLimit() {
    for (int i = 0; i < LeaseTable.GROUPS_BEFORE_SWEEP; i++) {
      log.append(LeaseCodec.encode(new LeaseRecord.Acquire("group-" + i, OWNER_A, i, 1_000)));
    }
    acquire(OWNER_A, 2 * LeaseTable.MAX_DURATION_MILLIS);
    LeaseTable table = new LeaseTable();
    table.apply(log.read(0, Integer.MAX_VALUE));
    assertThat(table.groupCount()).isEqualTo(1);
  }
}
