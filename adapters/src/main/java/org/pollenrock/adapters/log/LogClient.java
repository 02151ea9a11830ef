package org.pollenrock.adapters.log;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.pollenrock.core.error.Result;

/** Client of the append-only log service. */
public interface LogClient {
  /**
   * Appends a record. After a failure that is not a refusal the record may have been appended.
   *
   * @param stream stream name
   * @param data content of the record
   * @return position of the record, or the error
   */
  CompletionStage<Result<Appended>> append(String stream, byte[] data);

  /**
   * Reads records, waiting for the first one when there is none yet.
   *
   * @param stream stream name
   * @param from offset of the first record wanted
   * @param max most records to return
   * @param wait longest time to wait
   * @return what the log holds from there on, or the error
   */
  CompletionStage<Result<LogRead>> read(String stream, long from, int max, Duration wait);

  /**
   * Position of an appended record.
   *
   * @param offset offset in the stream
   * @param timeMillis time of the record by the log's clock, in milliseconds
   */
  record Appended(long offset, long timeMillis) {}
}
