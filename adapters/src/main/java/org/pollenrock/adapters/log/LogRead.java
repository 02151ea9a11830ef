package org.pollenrock.adapters.log;

import java.util.List;

/** What the log answered to a read. */
public sealed interface LogRead {
  /**
   * Lowest offset that the log keeps.
   *
   * @return the offset
   */
  long first();

  /**
   * Records, possibly none.
   *
   * @param first lowest offset that the log keeps
   * @param head offset that the next record will have
   * @param headTimeMillis time of the newest record by the log's clock, in milliseconds
   * @param records records in ascending order of offset
   */
  record Records(long first, long head, long headTimeMillis, List<LogRecord> records)
      implements LogRead {
    /** Copies the records. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * The wanted offset is no longer kept.
   *
   * @param first lowest offset that the log keeps
   */
  record Truncated(long first) implements LogRead {}
}
