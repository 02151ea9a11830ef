package org.pollenrock.ctl.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.pollenrock.core.settings.AppliedChange;
import org.pollenrock.core.settings.LogBatch;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.core.settings.SettingsHistory;

/** The settings stream, read into a history by the same rules as in a router. */
public final class SettingsLog {
  /** Name of the stream. */
  public static final String STREAM = "settings";

  private static final int PAGE_RECORDS = 512;

  private final LogClient client;
  private final SettingsHistory history = new SettingsHistory();
  private final List<AppliedChange> changes = new ArrayList<>();

  /**
   * Creates an empty view.
   *
   * @param client the log
   */
  public SettingsLog(LogClient client) {
    this.client = Objects.requireNonNull(client, "client");
  }

  /**
   * The state after the records read so far.
   *
   * @return the history
   */
  public SettingsHistory history() {
    return history;
  }

  /**
   * The changes read so far; those covered by a snapshot are missing.
   *
   * @return a copy in the order of the log
   */
  public List<AppliedChange> changes() {
    return List.copyOf(changes);
  }

  /**
   * Reads to the head of the log.
   *
   * @throws LogException when the log does not answer
   * @throws InterruptedException when the thread is interrupted
   */
  public void readToHead() throws LogException, InterruptedException {
    readUpTo(Long.MAX_VALUE);
  }

  /**
   * Reads the records below an offset, as far as the log has them.
   *
   * @param limit the offset
   * @throws LogException when the log does not answer
   * @throws InterruptedException when the thread is interrupted
   */
  public void readUpTo(long limit) throws LogException, InterruptedException {
    long end;
    do {
      long from = history.readFrom();
      end = Math.min(readPage(limit, Duration.ZERO), limit);
      if (history.readFrom() == from && from < end) {
        throw new LogException(
            "the log returned no record from " + from + ", below its head", false);
      }
    } while (history.readFrom() < end);
  }

  /**
   * Reads the next records and waits for some when there are none.
   *
   * @param wait greatest waiting time
   * @throws LogException when the log does not answer
   * @throws InterruptedException when the thread is interrupted
   */
  public void readNext(Duration wait) throws LogException, InterruptedException {
    readPage(Long.MAX_VALUE, wait);
  }

  private long readPage(long limit, Duration wait) throws LogException, InterruptedException {
    long from = history.readFrom();
    LogPage page = client.read(from, PAGE_RECORDS, wait);
    switch (page) {
      case LogPage.Truncated truncated -> history.truncated(truncated.first());
      case LogPage.Records read -> {
        List<LogRecord> below =
            read.records().stream().filter(entry -> entry.offset() < limit).toList();
        boolean cut = below.size() < read.records().size();
        long last = below.isEmpty() ? from : below.getLast().offset() + 1;
        long next = cut ? limit : last;
        changes.addAll(history.apply(new LogBatch(from, next, below)));
      }
    }
    return page.head();
  }
}
