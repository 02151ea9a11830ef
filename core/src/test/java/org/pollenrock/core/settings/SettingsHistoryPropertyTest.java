package org.pollenrock.core.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.UUID;
import java.util.zip.CRC32C;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Guards against routers that hold different settings after the same records. */
class SettingsHistoryPropertyTest {
  private static final int LENGTH = 60;

  /** Fails when a decision depends on how reads cut the log or on records that arrive twice. */
  @Property(seed = "7101", tries = 300, shrinking = ShrinkingMode.FULL)
  void everyCutOfTheLogGivesTheSameState(@ForAll long seed) {
    Random random = new Random(seed);
    List<LogRecord> log = SettingsFixtures.randomLog(random, LENGTH);
    SettingsHistory history = new SettingsHistory();
    for (LogBatch batch : SettingsFixtures.cut(log, random)) {
      history.apply(batch);
      int again = random.nextInt((int) batch.next());
      history.apply(new LogBatch(again, batch.next(), log.subList(again, (int) batch.next())));
    }
    assertThat(SettingsFixtures.state(history))
        .isEqualTo(SettingsFixtures.state(SettingsFixtures.read(log)));
  }

  /**
   * Fails when the incremental editor, conflict table or id memory differs from the plain rules.
   */
  @Property(seed = "7102", tries = 400, shrinking = ShrinkingMode.FULL)
  void acceptanceEqualsThePlainModel(@ForAll long seed) {
    List<LogRecord> log = SettingsFixtures.randomLog(new Random(seed), LENGTH);
    SettingsHistory history = new SettingsHistory();
    NaiveSettings naive = new NaiveSettings();
    for (LogRecord entry : log) {
      history.apply(new LogBatch(entry.offset(), entry.offset() + 1, List.of(entry)));
      naive.apply(entry);
      assertThat(history.revision()).as("offset %d", entry.offset()).isEqualTo(naive.revision());
    }
    Map<UUID, Boolean> decided = new TreeMap<>();
    history
        .snapshot()
        .outcomes()
        .forEach(
            change -> decided.put(change.id(), change.outcome() instanceof ChangeOutcome.Accepted));
    assertThat(decided).isEqualTo(naive.decided());
    assertThat(history.tree()).isEqualTo(naive.tree());
    assertThat(history.digest()).isEqualTo(StateDigest.of(naive.tree()));
  }

  /**
   * Fails when a lagging peer, an old snapshot, a gap or truncation moves a router back, or when a
   * router that started from a snapshot ends in another state.
   */
  @Property(seed = "7103", tries = 300, shrinking = ShrinkingMode.FULL)
  void stateNeverReverts(@ForAll long seed) {
    Random random = new Random(seed);
    List<LogRecord> log = logWithSnapshots(random);
    List<SettingsSnapshot> prefixes = prefixes(log);
    SettingsHistory history = new SettingsHistory();
    for (int step = 0; step < 30; step++) {
      long revision = history.revision();
      long next = history.next();
      step(history, log, prefixes, random);
      assertThat(history.revision()).isGreaterThanOrEqualTo(revision);
      assertThat(history.next()).isGreaterThanOrEqualTo(next);
      if (history.next() > 0) {
        assertThat(SettingsFixtures.state(history))
            .isEqualTo(SettingsFixtures.state(prefixes.get((int) history.next() - 1)));
      }
    }
  }

  private static void step(
      SettingsHistory history,
      List<LogRecord> log,
      List<SettingsSnapshot> prefixes,
      Random random) {
    int from = random.nextInt(log.size());
    int to = from + random.nextInt(log.size() - from + 1);
    switch (random.nextInt(4)) {
      case 0 -> history.apply(new LogBatch(from, to, log.subList(from, to)));
      case 1 -> {
        if (from > 0) {
          history.install(prefixes.get(from - 1));
        }
      }
      case 2 -> history.truncated(from);
      default -> {
        int start = (int) history.readFrom();
        int end = Math.min(log.size(), start + random.nextInt(8));
        history.apply(new LogBatch(start, Math.max(start, end), log.subList(start, end)));
      }
    }
  }

  /** The state after each record. */
  private static List<SettingsSnapshot> prefixes(List<LogRecord> log) {
    List<SettingsSnapshot> prefixes = new ArrayList<>();
    SettingsHistory history = new SettingsHistory();
    for (LogRecord entry : log) {
      history.apply(new LogBatch(entry.offset(), entry.offset() + 1, List.of(entry)));
      prefixes.add(history.snapshot());
    }
    return prefixes;
  }

  /**
   * Fails when a router that restarts, with the log cut below a snapshot and peers that lag, ends
   * below the revision that it had or in another state.
   */
  @Property(seed = "7110", tries = 200, shrinking = ShrinkingMode.FULL)
  void restartReachesTheNewestState(@ForAll long seed) {
    Random random = new Random(seed);
    List<LogRecord> log = logWithSnapshots(random);
    SettingsHistory before = SettingsFixtures.read(log);
    SettingsHistory restarted = new SettingsHistory();
    restarted.truncated(Math.min(random.nextInt(log.size()), before.lastSnapshot().next()));
    int lagging = 1 + random.nextInt(log.size());
    if (random.nextBoolean()) {
      restarted.install(SettingsFixtures.read(log.subList(0, lagging)).snapshot());
    }
    while (restarted.readFrom() < log.size()) {
      int from = (int) restarted.readFrom();
      int to = Math.min(log.size(), from + 1 + random.nextInt(5));
      restarted.apply(new LogBatch(from, to, log.subList(from, to)));
    }
    assertThat(restarted.awaitsSnapshot()).isFalse();
    assertThat(SettingsFixtures.state(restarted)).isEqualTo(SettingsFixtures.state(before));
  }

  /** A log whose routers wrote snapshots now and then. */
  private static List<LogRecord> logWithSnapshots(Random random) {
    List<LogRecord> log = new ArrayList<>();
    SettingsHistory history = new SettingsHistory();
    for (LogRecord entry : SettingsFixtures.randomLog(random, LENGTH)) {
      log.add(new LogRecord(log.size(), log.size(), entry.data()));
      history.apply(new LogBatch(history.next(), log.size(), List.of(log.getLast())));
      if (random.nextInt(8) == 0) {
        for (SnapshotPart part : SnapshotCodec.encode(history.snapshot())) {
          log.add(new LogRecord(log.size(), log.size(), SettingsCodec.encode(part)));
          history.apply(new LogBatch(history.next(), log.size(), List.of(log.getLast())));
        }
      }
    }
    return log;
  }

  /** Fails when a damaged record throws, or when damage goes unnoticed. */
  @Property(seed = "7104", tries = 2000, shrinking = ShrinkingMode.FULL)
  void damagedRecordsAreCorrupt(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] bytes = SettingsFixtures.randomLog(random, 2).get(1).data().clone();
    if (!(SettingsCodec.decode(bytes) instanceof DecodedRecord.Change)) {
      return;
    }
    int at = random.nextInt(bytes.length);
    bytes[at] ^= (byte) (1 + random.nextInt(255));
    assertThat(SettingsCodec.decode(bytes)).isInstanceOf(DecodedRecord.Corrupt.class);
  }

  /**
   * Fails when a well-framed record stops the routers that read it, or leaves a tree that does not
   * pass the checks.
   */
  @Property(seed = "7111", tries = 400, shrinking = ShrinkingMode.FULL)
  void arbitraryChangesNeverThrow(@ForAll long seed) {
    Random random = new Random(seed);
    SettingsHistory history = SettingsFixtures.read(SettingsFixtures.randomLog(random, 5));
    for (int offset = 5; offset < 45; offset++) {
      SettingsChange change = SettingsFixtures.arbitraryChange(random, offset - 1);
      LogRecord entry = SettingsFixtures.entry(offset, change);
      history.apply(new LogBatch(offset, offset + 1, List.of(entry)));
    }
    SettingsTree tree = SettingsFixtures.tree(TreeWriter.write(history.tree()));
    assertThat(tree).isEqualTo(history.tree());
    assertThat(history.digest()).isEqualTo(StateDigest.of(tree));
  }

  /** Fails when random bytes behind a valid frame and checksum make the decoder throw. */
  @Property(seed = "7112", tries = 2000, shrinking = ShrinkingMode.FULL)
  void framedGarbageNeverThrows(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] bytes = new byte[8 + random.nextInt(60)];
    random.nextBytes(bytes);
    byte[] start = {'P', 'S', SettingsCodec.VERSION, (byte) (1 + random.nextInt(2))};
    System.arraycopy(start, 0, bytes, 0, start.length);
    for (int i = start.length; i < bytes.length; i++) {
      bytes[i] = random.nextBoolean() ? (byte) random.nextInt(4) : bytes[i];
    }
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, bytes.length - 4);
    ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
    assertThat(SettingsCodec.decode(bytes)).isNotNull();
  }

  /**
   * Fails when the shortest list of edits between two trees does not lead from one to the other.
   */
  @Property(seed = "7105", tries = 200, shrinking = ShrinkingMode.FULL)
  void differenceLeadsToTheOtherTree(@ForAll long seed) {
    Random random = new Random(seed);
    SettingsTree from = SettingsFixtures.read(SettingsFixtures.randomLog(random, LENGTH)).tree();
    SettingsTree to = SettingsFixtures.read(SettingsFixtures.randomLog(random, LENGTH)).tree();
    ProblemList problems = new ProblemList();
    SettingsTree reached = TreeEditor.apply(from, TreeDiff.edits(from, to), problems);
    assertThat(problems.toList()).isEmpty();
    assertThat(reached).isEqualTo(to);
  }
}
