package org.pollenrock.router.task;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.adapters.log.LogClient;
import org.pollenrock.adapters.log.LogRead;
import org.pollenrock.core.error.Result;

/** Follows one stream of the log by long polls; confined to one event loop. */
public final class LogReader {
  private static final Logger LOG = LogManager.getLogger(LogReader.class);

  /** Delay before a failed read is repeated; drawn anew so that routers do not fall into step. */
  private static final int LEAST_DELAY_MILLIS = 50;

  private static final int DELAY_SPREAD_MILLIS = 150;

  private final EventLoop loop;
  private final LogClient client;
  private final String stream;
  private final Bounds bounds;
  private final RandomGenerator random;
  private final Listener listener;
  private long from;
  private boolean available = true;
  private boolean answered;
  private volatile boolean stopped;

  /**
   * How much to read at once and how long to wait for it.
   *
   * @param records most records of a read
   * @param longestWait longest time that the log holds a read back when there is nothing new
   */
  public record Bounds(int records, Duration longestWait) {}

  /** Receives what was read, on the loop. */
  public interface Listener {
    /**
     * The log answered.
     *
     * @param readFrom offset that was asked for
     * @param records the answer
     */
    void read(long readFrom, LogRead.Records records);

    /**
     * The log no longer holds the wanted records; reading goes on at the first one that it holds.
     *
     * @param first lowest offset that the log keeps
     */
    void truncated(long first);

    /** The log did not answer. */
    void unavailable();
  }

  /**
   * Creates a reader that starts at the first record of the stream.
   *
   * @param loop its thread
   * @param client client of the log
   * @param stream name of the stream
   * @param bounds bounds of a read
   * @param random randomness of delays
   * @param listener receives what was read
   */
  public LogReader(
      EventLoop loop,
      LogClient client,
      String stream,
      Bounds bounds,
      RandomGenerator random,
      Listener listener) {
    this.loop = loop;
    this.client = client;
    this.stream = stream;
    this.bounds = bounds;
    this.random = random;
    this.listener = listener;
  }

  /** Starts to read. */
  public void start() {
    loop.execute(this::read);
  }

  /** Reads no more. */
  public void stop() {
    stopped = true;
  }

  private void read() {
    if (stopped) {
      return;
    }
    long asked = from;
    // The first answer tells how much there is to read, so it must not wait for a new record.
    Duration wait = answered ? bounds.longestWait() : Duration.ZERO;
    client
        .read(stream, asked, bounds.records(), wait)
        .thenAccept(result -> loop.execute(() -> received(asked, result)));
  }

  private void received(long asked, Result<LogRead> result) {
    if (stopped) {
      return;
    }
    switch (result) {
      case Result.Success<LogRead>(LogRead.Records records) -> {
        noteAvailable(true, "");
        answered = true;
        if (!records.records().isEmpty()) {
          from = records.records().getLast().offset() + 1;
        }
        listener.read(asked, records);
        read();
      }
      case Result.Success<LogRead>(LogRead.Truncated(long first)) -> {
        noteAvailable(true, "");
        from = Math.max(from + 1, first);
        listener.truncated(first);
        read();
      }
      case Result.Failure<LogRead>(var error) -> {
        noteAvailable(false, error.message());
        answered = false;
        listener.unavailable();
        int delay = LEAST_DELAY_MILLIS + random.nextInt(DELAY_SPREAD_MILLIS);
        loop.schedule(this::read, delay, TimeUnit.MILLISECONDS);
      }
    }
  }

  private void noteAvailable(boolean now, String reason) {
    if (now != available) {
      available = now;
      LOG.info("log stream {} {} {}", stream, now ? "available" : "unavailable", reason);
    }
  }
}
