package org.pollenrock.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.record.RecordWriter;

/** Tests of the claim table, the codec, the keys and the batcher. */
class ClaimTableTest {
  private static final InstanceId ROUTER = new InstanceId("router-1");
  private static final Incarnation INCARNATION = new Incarnation(3);
  private static final Digest256 BODY = new Digest256(0, 0, 0, 1);

  private static ClaimRecord.Claimed claim(long number, long keyTimeMillis) {
    ClaimId id = new ClaimId(ROUTER, INCARNATION, number);
    return new ClaimRecord.Claimed(id, new Digest256(number, 0, 0, 0), BODY, keyTimeMillis);
  }

  /** Guards against accepting keys that are not time-ordered, and against a wrong embedded time. */
  @Test
  void parsesUuidV7AndUlidKeysOnly() {
    assertThat(IdempotencyKey.parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"))
        .contains(new IdempotencyKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1_645_557_742_000L));
    assertThat(IdempotencyKey.parse("01arz3ndektsv4rrffq69g5fav"))
        .contains(new IdempotencyKey("01ARZ3NDEKTSV4RRFFQ69G5FAV", 1_469_922_850_259L));
    assertThat(IdempotencyKey.parse("6fa459ea-ee8a-4ca4-894e-db77e160355e")).isEmpty();
    assertThat(IdempotencyKey.parse("81ARZ3NDEKTSV4RRFFQ69G5FAV")).isEmpty();
    assertThat(IdempotencyKey.parse("")).isEmpty();
  }

  /** Guards against the key of one customer or service blocking the key of another. */
  @Test
  void keyDigestCoversTheScope() {
    IdempotencyKey key = IdempotencyKey.parse("01ARZ3NDEKTSV4RRFFQ69G5FAV").orElseThrow();
    Digest256 digest = Digest256.ofKey(new CustomerId("ab"), "c", key);
    assertThat(Digest256.ofKey(new CustomerId("a"), "bc", key)).isNotEqualTo(digest);
    assertThat(Digest256.ofKey(new CustomerId("ab"), "d", key)).isNotEqualTo(digest);
    assertThat(Digest256.ofKey(new CustomerId("ab"), "c", key)).isEqualTo(digest);
  }

  /** Guards against records that change when they are encoded and decoded. */
  @Test
  void recordsAreDecodedAsEncoded() {
    ClaimId id = new ClaimId(ROUTER, INCARNATION, 9);
    List<ClaimRecord> records =
        List.of(
            claim(9, 77),
            new ClaimRecord.Released(id, BODY),
            new ClaimRecord.OutcomeUnknown(id, BODY),
            new ClaimRecord.TimeMark(id));
    byte[] batch = ClaimCodec.encodeBatch(ROUTER, INCARNATION, records);
    assertThat(new ClaimCodec().decode(batch)).isEqualTo(records);
    byte[] tooLong = new byte[CallOutcome.MAX_BODY_BYTES + 1];
    ClaimRecord completed =
        new ClaimRecord.Completed(id, BODY, CallOutcome.of(200, "text/plain", tooLong));
    byte[] encoded = ClaimCodec.encodeBatch(ROUTER, INCARNATION, List.of(completed));
    ClaimRecord decoded = new ClaimCodec().decode(encoded).getFirst();
    CallOutcome outcome = ((ClaimRecord.Completed) decoded).outcome();
    assertThat(outcome.status()).isEqualTo(200);
    assertThat(outcome.bodyKept()).isFalse();
  }

  /** Guards against a corrupt record that stops decoding or hides the records next to it. */
  @Test
  void corruptAndUnknownRecordsAreSkippedAndCounted() {
    byte[] batch = ClaimCodec.encodeBatch(ROUTER, INCARNATION, List.of(claim(1, 5), claim(2, 5)));
    batch[batch.length - 1] ^= 1;
    byte[] unknown = new RecordWriter().writeLong(1).toFrame(250);
    byte[] input = Arrays.copyOf(batch, batch.length + unknown.length);
    System.arraycopy(unknown, 0, input, batch.length, unknown.length);
    ClaimCodec codec = new ClaimCodec();
    assertThat(codec.decode(input)).containsExactly(claim(1, 5));
    assertThat(codec.corruptFrames()).isEqualTo(1);
    assertThat(codec.unknownTypes()).isEqualTo(1);
  }

  /** Guards against input that makes the decoder throw an exception. */
  @Property(seed = "7501", tries = 2_000, shrinking = ShrinkingMode.BOUNDED)
  void arbitraryBytesAreDecodedWithoutAnException(@ForAll @Size(max = 200) byte[] bytes) {
    byte[] batch = ClaimCodec.encodeBatch(ROUTER, INCARNATION, List.of(claim(1, 5)));
    for (int i = 0; i < bytes.length && i < batch.length; i++) {
      batch[(i * 7 + bytes.length) % batch.length] ^= bytes[i];
    }
    ClaimCodec codec = new ClaimCodec();
    assertThat(codec.decode(bytes)).isNotNull();
    assertThat(codec.decode(batch)).isIn(List.of(), List.of(claim(1, 5)));
  }

  /**
   * Guards against exceeding the maximum size, and against accepting the key of a dropped claim.
   */
  @Test
  void tableIsBoundedAndDroppedKeysAreIncomplete() {
    long bound = 20L * ClaimTable.ENTRY_BYTES;
    ClaimTable table = new ClaimTable(100_000, 1_000, bound);
    table.restart(0);
    for (int i = 0; i < 50; i++) {
      table.beginEntry(1_000 + i);
      table.apply(claim(i, 1_000 + i), 1_000 + i);
    }
    assertThat(table.bytes()).isLessThanOrEqualTo(bound);
    assertThat(table.size()).isEqualTo(20);
    assertThat(table.isCompleteFor(1_029)).isFalse();
    assertThat(table.isCompleteFor(1_030)).isTrue();
  }

  /**
   * Guards against accepting a key whose claim may have been dropped from the log unread. The log
   * time of that claim can lie before the key's time by the future tolerance.
   */
  @Test
  void completenessRequiresHistoryOfTheFutureTolerance() {
    ClaimTable table = new ClaimTable(10_000, 100, 1_000_000);
    table.restart(5);
    assertThat(table.isCompleteFor(9_000)).as("before the first entry").isFalse();
    table.beginEntry(1_000);
    assertThat(table.isCompleteFor(1_100)).isFalse();
    assertThat(table.isCompleteFor(1_101)).isTrue();
  }

  /** Guards against reporting a completed call as unknown after its body was dropped. */
  @Test
  void oldestBodyIsDroppedFirstAndItsOutcomeStays() {
    int bodyBytes = 4_000;
    long bound = 2L * (ClaimTable.ENTRY_BYTES + ClaimTable.OUTCOME_BYTES) + bodyBytes + 10;
    ClaimTable table = new ClaimTable(100_000, 1_000, bound);
    table.restart(0);
    for (int i = 0; i < 2; i++) {
      ClaimRecord.Claimed claimed = claim(i, 1_000);
      table.apply(claimed, 1_000);
      CallOutcome outcome = CallOutcome.of(200, "", new byte[bodyBytes]);
      table.apply(new ClaimRecord.Completed(claimed.claim(), claimed.key(), outcome), 1_000);
    }
    assertThat(table.find(claim(0, 0).key()).orElseThrow().outcome().bodyKept()).isFalse();
    assertThat(table.find(claim(1, 0).key()).orElseThrow().outcome().bodyKept()).isTrue();
    assertThat(table.size()).isEqualTo(2);
  }

  /** Guards against treating a copy of a claim, or a released claim, as a new claim. */
  @Test
  void resultsDistinguishRepeatedReleasedAndLostClaims() {
    ClaimTable table = new ClaimTable(1_000, 100, 1_000_000);
    table.restart(0);
    ClaimRecord.Claimed claimed = claim(1, 500);
    ClaimId otherId = new ClaimId(ROUTER, INCARNATION, 2);
    ClaimRecord other = new ClaimRecord.Claimed(otherId, claimed.key(), BODY, 500);
    assertThat(table.apply(claimed, 500)).isEqualTo(ClaimTable.RecordResult.WON);
    assertThat(table.apply(claimed, 501)).isEqualTo(ClaimTable.RecordResult.REPEATED);
    assertThat(table.apply(other, 502)).isEqualTo(ClaimTable.RecordResult.LOST);
    table.apply(new ClaimRecord.Released(claimed.claim(), claimed.key()), 503);
    assertThat(table.apply(claimed, 504)).isEqualTo(ClaimTable.RecordResult.RELEASED);
    assertThat(table.apply(other, 505)).isEqualTo(ClaimTable.RecordResult.WON);
    assertThat(table.apply(claim(3, 400), 1_501)).isEqualTo(ClaimTable.RecordResult.OUT_OF_WINDOW);
  }

  /** Guards against a key being freed by the release of another claim, or by one after the run. */
  @Test
  void onlyTheHolderReleasesTheKeyAndOnlyBeforeTheRun() {
    ClaimTable table = new ClaimTable(1_000, 100, 1_000_000);
    table.restart(0);
    ClaimRecord.Claimed claimed = claim(1, 500);
    table.apply(claimed, 500);
    ClaimId otherId = new ClaimId(ROUTER, new Incarnation(4), 1);
    table.apply(new ClaimRecord.Released(otherId, claimed.key()), 501);
    assertThat(table.find(claimed.key())).isPresent();
    table.apply(new ClaimRecord.OutcomeUnknown(claimed.claim(), claimed.key()), 502);
    table.apply(new ClaimRecord.Released(claimed.claim(), claimed.key()), 503);
    assertThat(table.find(claimed.key()).orElseThrow().state())
        .isEqualTo(ClaimView.State.OUTCOME_UNKNOWN);
  }

  /** Guards against entries and counted bytes that remain after the window has passed. */
  @Test
  void entriesAreRemovedAfterTheWindow() {
    ClaimTable table = new ClaimTable(1_000, 100, 1_000_000);
    table.restart(0);
    ClaimRecord.Claimed claimed = claim(1, 500);
    table.apply(claimed, 500);
    CallOutcome outcome = CallOutcome.of(200, "", new byte[10]);
    table.apply(new ClaimRecord.Completed(claimed.claim(), claimed.key(), outcome), 501);
    table.apply(new ClaimRecord.Released(claim(2, 0).claim(), claim(2, 0).key()), 501);
    table.advanceTime(1_500);
    assertThat(table.size()).isEqualTo(2);
    table.advanceTime(1_602);
    assertThat(table.size()).isZero();
    assertThat(table.bytes()).isZero();
  }

  /** Guards against appending more often than once per interval, and against an oversized batch. */
  @Test
  void batcherAppendsOncePerIntervalAndBoundsTheBatch() {
    ClaimBatcher batcher = new ClaimBatcher(ROUTER, INCARNATION, ClaimSettings.defaults());
    for (int i = 0; i < 1_000; i++) {
      batcher.offer(claim(i, 1));
    }
    long interval = ClaimSettings.defaults().batchIntervalNanos();
    ClaimBatcher.Append append = batcher.poll(0).orElseThrow();
    assertThat(append.data().length).isLessThanOrEqualTo(ClaimBatcher.MAX_BATCH_BYTES);
    assertThat(batcher.poll(interval - 1)).isEmpty();
    assertThat(batcher.poll(interval)).isPresent();
  }
}
