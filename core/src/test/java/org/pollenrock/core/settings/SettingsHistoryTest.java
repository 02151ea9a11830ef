package org.pollenrock.core.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.settings.SettingsFixtures.change;
import static org.pollenrock.core.settings.SettingsFixtures.entry;
import static org.pollenrock.core.settings.SettingsFixtures.put;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SettingsHistoryTest {
  private final SettingsHistory history = new SettingsHistory();
  private final List<LogRecord> log = new ArrayList<>();

  @BeforeEach
  void publishSample() {
    append(change(1, -1, new SettingsEdit.Put(SettingsPath.ROOT, SettingsFixtures.sample())));
  }

  private AppliedChange append(SettingsChange change) {
    LogRecord record = entry(log.size(), change);
    log.add(record);
    return history
        .apply(new LogBatch(record.offset(), record.offset() + 1, List.of(record)))
        .getFirst();
  }

  /** Guards against the later of two racing operators undoing the earlier without notice. */
  @Test
  void secondOfTwoRacingOperatorsIsRefused() {
    AppliedChange first = append(change(2, 0, put("customers/c1/weight", "8")));
    AppliedChange second = append(change(3, 0, put("customers/c1", SettingsFixtures.branch())));
    assertThat(first.outcome()).isEqualTo(new ChangeOutcome.Accepted(1));
    assertThat(second.outcome())
        .isEqualTo(
            new ChangeOutcome.Refused(
                2,
                RefusalReason.CONFLICT,
                "customers/c1/weight was changed by revision 1, after base 0"));
    assertThat(history.revision()).isEqualTo(1);
  }

  /** Guards against refusing operators who work on different customers. */
  @Test
  void racingChangesOfDifferentPathsAreBothAccepted() {
    append(change(2, 0, put("customers/c1/weight", "8")));
    append(change(3, 0, put("customers/c0/weight", "9")));
    assertThat(history.revision()).isEqualTo(2);
  }

  /** Guards against a second effect when the response of an append was lost and it is repeated. */
  @Test
  void repeatedChangeHasTheFirstResultAndNoEffect() {
    AppliedChange first = append(change(2, 0, put("customers/c1/weight", "8")));
    append(change(3, 1, put("customers/c1/weight", "9")));
    AppliedChange repeated = append(change(2, 0, put("customers/c1/weight", "8")));
    assertThat(repeated.repeated()).isTrue();
    assertThat(repeated.outcome()).isEqualTo(first.outcome());
    assertThat(history.revision()).isEqualTo(2);
    assertThat(history.tree().customers().find("c1").orElseThrow().values())
        .hasToString("{weight=9 }");
  }

  /** Guards against a forgotten change taking effect again, and against memory without bound. */
  @Test
  void forgottenChangeIsRefusedByItsBase() {
    SettingsChange early = change(2, 0, put("customers/c1/weight", "8"));
    append(early);
    for (int i = 0; i < SettingsHistory.MAX_REMEMBERED; i++) {
      append(change(10 + i, log.size() - 1, put("root/weight", Integer.toString(1 + i % 2))));
    }
    assertThat(history.outcomeOf(new UUID(0, 2))).isEmpty();
    ChangeOutcome outcome = append(early).outcome();
    assertThat(outcome)
        .isEqualTo(
            new ChangeOutcome.Refused(
                log.size() - 1, RefusalReason.BASE_TOO_OLD, "the oldest permitted base is 1"));
    assertThat(history.snapshot().outcomes()).hasSize(SettingsHistory.MAX_REMEMBERED);
  }

  /** Guards against settings that break the schema coming into force. */
  @Test
  void changeThatBreaksTheSchemaIsRefusedWithThePath() {
    AppliedChange applied = append(change(2, 0, put("customers/c1/wieght", "8")));
    assertThat(applied.outcome())
        .isEqualTo(
            new ChangeOutcome.Refused(
                1,
                RefusalReason.INVALID,
                "customers/c1/wieght: unknown key 'wieght'; did you mean 'weight'?"));
  }

  /** Guards against one API key that identifies two customers. */
  @Test
  void apiKeyOfAnotherCustomerIsRefused() {
    AppliedChange applied =
        append(
            change(
                2,
                0,
                put("customers/c1/callers/app", SettingsFixtures.branch()),
                put("customers/c1/api-keys/" + SettingsFixtures.hash("k0"), "app")));
    assertThat(((ChangeOutcome.Refused) applied.outcome()).detail())
        .contains("has the same API key");
  }

  /** Guards against a revoked key that still works. */
  @Test
  void revokedKeyIsUnknown() {
    assertThat(history.tree().ownerOf(ApiKeyHash.ofKey("k0"))).isPresent();
    String path = "customers/c0/api-keys/" + SettingsFixtures.hash("k0");
    append(change(2, 0, SettingsFixtures.remove(path)));
    assertThat(history.tree().ownerOf(ApiKeyHash.ofKey("k0"))).isEmpty();
  }

  /** Guards against a router that stays without settings after the log dropped old records. */
  @Test
  void routerPastRetentionStartsFromTheSnapshotOnTheLog() {
    append(change(2, 0, put("customers/c1/weight", "8")));
    for (SnapshotPart part : SnapshotCodec.encode(history.snapshot())) {
      log.add(new LogRecord(log.size(), 50, SettingsCodec.encode(part)));
    }
    log.add(entry(log.size(), change(3, 1, put("customers/c1/weight", "9"))));
    SettingsHistory late = new SettingsHistory();
    late.truncated(2);
    assertThat(late.awaitsSnapshot()).isTrue();
    while (late.readFrom() < log.size()) {
      int from = (int) late.readFrom();
      late.apply(new LogBatch(from, from + 1, log.subList(from, from + 1)));
    }
    assertThat(late.awaitsSnapshot()).isFalse();
    assertThat(SettingsFixtures.state(late))
        .isEqualTo(SettingsFixtures.state(SettingsFixtures.read(log)));
  }

  /** Guards against a forged or damaged snapshot that claims to cover records not yet written. */
  @Test
  void snapshotFromTheFutureIsRejected() {
    SnapshotPart part = SnapshotCodec.encode(history.snapshot()).getFirst();
    SnapshotPart forged = new SnapshotPart(99, part.checksum(), 0, 1, part.data());
    history.apply(new LogBatch(1, 2, List.of(new LogRecord(1, 1, SettingsCodec.encode(forged)))));
    assertThat(history.rejectedSnapshots()).isEqualTo(1);
    assertThat(history.next()).isEqualTo(2);
  }

  /** Guards against records of a later format being taken for damage. */
  @Test
  void laterFormatIsCountedApart() {
    byte[] data = log.getFirst().data().clone();
    data[2] = SettingsCodec.VERSION + 1;
    CRC32C crc = new CRC32C();
    crc.update(data, 0, data.length - 4);
    ByteBuffer.wrap(data).putInt(data.length - 4, (int) crc.getValue());
    history.apply(new LogBatch(1, 3, List.of(new LogRecord(1, 1, data))));
    history.apply(new LogBatch(3, 4, List.of(new LogRecord(3, 1, new byte[3]))));
    assertThat(history.unsupportedRecords()).isEqualTo(1);
    assertThat(history.corruptRecords()).isEqualTo(1);
  }
}
