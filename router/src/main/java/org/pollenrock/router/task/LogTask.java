package org.pollenrock.router.task;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.pollenrock.adapters.log.LogClient;
import org.pollenrock.adapters.log.LogRead;
import org.pollenrock.adapters.log.LogStreams;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.record.LogEntry;
import org.pollenrock.core.settings.LogBatch;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.router.decision.DecisionState;
import org.pollenrock.router.decision.Decisions;

/** Follows the streams of settings and claims, and appends to them. */
public final class LogTask {
  /** Well below the silence after which claims count the log as unavailable (2 s). */
  private static final Duration CLAIM_WAIT = Duration.ofMillis(500);

  private final LogClient client;
  private final Decisions decisions;
  private final LogReader settingsReader;
  private final LogReader claimReader;
  private final LogReader leaseReader;
  private final LogReader drainReader;

  /**
   * Creates the task.
   *
   * @param loop its thread
   * @param client client of the log
   * @param bounds bounds of a read
   * @param random randomness of delays
   * @param decisions receives what was read
   */
  public LogTask(
      EventLoop loop,
      LogClient client,
      LogReader.Bounds bounds,
      RandomGenerator random,
      Decisions decisions) {
    this.client = client;
    this.decisions = decisions;
    this.settingsReader =
        new LogReader(loop, client, LogStreams.SETTINGS, bounds, random, new SettingsListener());
    LogReader.Bounds claimBounds =
        new LogReader.Bounds(bounds.records(), shorter(bounds.longestWait(), CLAIM_WAIT));
    this.claimReader =
        new LogReader(loop, client, LogStreams.CLAIMS, claimBounds, random, new ClaimListener());
    this.leaseReader =
        new LogReader(loop, client, LogStreams.LEASES, bounds, random, new LeaseListener());
    this.drainReader =
        new LogReader(loop, client, LogStreams.DRAINS, bounds, random, new DrainListener());
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  /** Starts to read. */
  public void start() {
    settingsReader.start();
    claimReader.start();
    leaseReader.start();
    drainReader.start();
  }

  /** Reads no more. */
  public void stop() {
    settingsReader.stop();
    claimReader.stop();
    leaseReader.stop();
    drainReader.stop();
  }

  /**
   * Appends claims; the end is told to the decisions.
   *
   * @param appendId number of the append
   * @param data the record
   */
  public void appendClaims(long appendId, byte[] data) {
    client
        .append(LogStreams.CLAIMS, data)
        .thenAccept(result -> decisions.tell(state -> claimsAppended(state, appendId, result)));
  }

  private static void claimsAppended(
      DecisionState state, long appendId, Result<LogClient.Appended> result) {
    switch (result) {
      case Result.Success<LogClient.Appended> done -> state.claims().appended(appendId);
      case Result.Failure<LogClient.Appended>(RequestError.Refusal refusal) ->
          state.claims().appendFailed(appendId);
      case Result.Failure<LogClient.Appended> uncertain -> state.claims().appendUncertain(appendId);
    }
  }

  /**
   * Appends the parts of a snapshot one after the other; the end is told to the decisions.
   *
   * @param parts the records
   */
  public void appendSnapshot(List<byte[]> parts) {
    if (parts.isEmpty()) {
      decisions.tell(state -> state.settingsLog().snapshotEnded());
      return;
    }
    client
        .append(LogStreams.SETTINGS, parts.get(0))
        .thenAccept(
            result -> {
              boolean done = result instanceof Result.Success<LogClient.Appended>;
              appendSnapshot(done ? parts.subList(1, parts.size()) : List.of());
            });
  }

  private final class SettingsListener implements LogReader.Listener {
    @Override
    public void read(long readFrom, LogRead.Records records) {
      List<LogRecord> entries =
          records.records().stream()
              .map(entry -> new LogRecord(entry.offset(), entry.timeMillis(), entry.data()))
              .toList();
      long next = entries.isEmpty() ? readFrom : entries.getLast().offset() + 1;
      LogBatch batch = new LogBatch(readFrom, next, entries);
      boolean atHead = next >= records.head();
      long headTime = records.headTimeMillis();
      decisions.tell(state -> state.settingsLog().read(batch, atHead, headTime));
    }

    @Override
    public void truncated(long first) {
      decisions.tell(state -> state.settingsLog().truncated(first));
    }

    @Override
    public void unavailable() {
      // The settings in force stay; only new changes are not seen.
    }
  }

  private final class ClaimListener implements LogReader.Listener {
    @Override
    public void read(long readFrom, LogRead.Records records) {
      var read = toCore(readFrom, records);
      decisions.tell(state -> state.claims().logRead(read));
    }

    @Override
    public void truncated(long first) {
      // The next read starts beyond the expected offset, which tells the claims of the gap.
    }

    @Override
    public void unavailable() {
      decisions.tell(state -> state.claims().logUnavailable());
    }
  }

  private static org.pollenrock.core.record.LogReadResult toCore(
      long readFrom, LogRead.Records records) {
    List<LogEntry> entries =
        records.records().stream()
            .map(entry -> new LogEntry(entry.offset(), entry.timeMillis(), entry.data()))
            .toList();
    return new org.pollenrock.core.record.LogReadResult(
        readFrom, records.first(), records.head(), records.headTimeMillis(), entries);
  }

  /**
   * Appends a record; whether it took effect is seen by reading the stream.
   *
   * @param stream name of the stream
   * @param data the record
   */
  public void append(String stream, byte[] data) {
    client.append(stream, data);
  }

  private final class LeaseListener implements LogReader.Listener {
    @Override
    public void read(long readFrom, LogRead.Records records) {
      var read = toCore(readFrom, records);
      decisions.tell(state -> state.rollouts().leaseRead(read));
    }

    @Override
    public void truncated(long first) {
      // The next read starts beyond the expected offset, which tells the table of the gap.
    }

    @Override
    public void unavailable() {
      // A lease that is not renewed expires by itself.
    }
  }

  private final class DrainListener implements LogReader.Listener {
    @Override
    public void read(long readFrom, LogRead.Records records) {
      var read = toCore(readFrom, records);
      decisions.tell(state -> state.rollouts().drainsRead(read));
    }

    @Override
    public void truncated(long first) {
      // A drain that is still wanted is repeated.
    }

    @Override
    public void unavailable() {
      // Drains end by themselves.
    }
  }
}
