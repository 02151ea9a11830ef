package org.pollenrock.ctl.log;

import java.util.List;
import org.pollenrock.core.settings.LogRecord;

/** What a read of the log returned. */
public sealed interface LogPage {
  /**
   * Offset that the next appended record will receive.
   *
   * @return the offset
   */
  long head();

  /**
   * Records from the offset that was asked for.
   *
   * @param head offset that the next appended record will receive
   * @param records the records, perhaps not up to the head
   */
  record Records(long head, List<LogRecord> records) implements LogPage {
    /** Copies the records. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * The offset that was asked for is below the log's retention.
   *
   * @param first the first offset that the log still holds
   * @param head offset that the next appended record will receive
   */
  record Truncated(long first, long head) implements LogPage {}
}
