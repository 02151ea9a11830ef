package org.pollenrock.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Event log that writes JSON lines to an output stream.
 *
 * <p>A separate thread writes the lines from a bounded buffer, so that logging a line never blocks.
 * While the reader of the output is slow, routine lines are dropped once half of the buffer is
 * full, and all lines when it is full. A later line reports the total number of dropped lines.
 */
public final class EventLog {
  /** Maximum number of bytes in the buffer. */
  public static final int CAPACITY_BYTES = 512 * 1024;

  /** Interval at which buffered lines are written; each write wakes the thread up. */
  private static final long WRITE_INTERVAL_MILLIS = 100;

  /** Importance of a line, which decides whether it is dropped while the buffer fills up. */
  public enum Importance {
    /** Needed to explain a failure. */
    ESSENTIAL,
    /** Reports a successful outcome. */
    ROUTINE
  }

  private final OutputStream out;
  private final JsonFactory json = new JsonFactory();
  private final Object lock = new Object();
  private final AtomicLong dropped = new AtomicLong();
  private ByteArrayOutputStream filling = new ByteArrayOutputStream(8192);
  private ByteArrayOutputStream spare = new ByteArrayOutputStream(8192);
  private int pendingBytes;
  private boolean stopped;
  private Thread writer;

  /**
   * Creates a log; nothing is written before {@link #start}.
   *
   * @param out output stream that the lines are written to
   */
  public EventLog(OutputStream out) {
    this.out = out;
  }

  /** Starts the writing thread. */
  public void start() {
    writer = new Thread(this::writeLoop, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Writes the buffered lines and stops the writing thread.
   *
   * @param waitMillis maximum time to wait for the lines to be written
   */
  public void stop(long waitMillis) {
    synchronized (lock) {
      stopped = true;
      lock.notifyAll();
    }
    try {
      writer.join(waitMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Begins a line.
   *
   * @param event name of the event
   * @param importance importance of the line
   * @return the line, to be completed by {@link Line#write}
   */
  public Line line(String event, Importance importance) {
    return new Line(event, importance);
  }

  /**
   * Begins a line that is needed to explain a failure.
   *
   * @param event name of the event
   * @return the line, to be completed by {@link Line#write}
   */
  public Line line(String event) {
    return line(event, Importance.ESSENTIAL);
  }

  /**
   * Returns the number of lines dropped since the start.
   *
   * @return the number of lines
   */
  public long droppedLines() {
    return dropped.get();
  }

  private void append(byte[] line, Importance importance) {
    int limit = importance == Importance.ROUTINE ? CAPACITY_BYTES / 2 : CAPACITY_BYTES;
    synchronized (lock) {
      if (pendingBytes + line.length > limit) {
        dropped.incrementAndGet();
        return;
      }
      pendingBytes += line.length;
      filling.writeBytes(line);
    }
  }

  private void writeLoop() {
    long reportedDrops = 0;
    while (true) {
      ByteArrayOutputStream batch;
      boolean isLast;
      synchronized (lock) {
        isLast = stopped || !awaitInterval();
        batch = filling;
        filling = spare;
        spare = batch;
      }
      if (dropped.get() > reportedDrops) {
        reportedDrops = dropped.get();
        batch.writeBytes(
            new Line("log_lines_dropped", Importance.ESSENTIAL)
                .with("total", reportedDrops)
                .bytes());
      }
      boolean written = flush(batch);
      synchronized (lock) {
        pendingBytes = filling.size();
        batch.reset();
        if (isLast && filling.size() == 0 || !written) {
          return;
        }
      }
    }
  }

  private boolean awaitInterval() {
    try {
      lock.wait(WRITE_INTERVAL_MILLIS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private boolean flush(ByteArrayOutputStream lines) {
    try {
      lines.writeTo(out);
      out.flush();
      return true;
    } catch (IOException e) {
      // The output is closed. The process keeps serving, and the metrics count the dropped lines.
      dropped.incrementAndGet();
      return false;
    }
  }

  /** Line of the log, whose fields appear in the order in which they are added. */
  public final class Line {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    private final Importance importance;
    private JsonGenerator generator;

    private Line(String event, Importance importance) {
      this.importance = importance;
      try {
        generator = json.createGenerator(bytes);
        generator.writeStartObject();
        generator.writeNumberField("time_ms", System.currentTimeMillis());
        generator.writeStringField("event", event);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /**
     * Adds a text field.
     *
     * @param name name of the field
     * @param value value of the field; if it is null, the field is left out
     * @return this line
     */
    public Line with(String name, String value) {
      if (value == null) {
        return this;
      }
      try {
        generator.writeStringField(name, value);
        return this;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /**
     * Adds a number field.
     *
     * @param name name of the field
     * @param value value of the field
     * @return this line
     */
    public Line with(String name, long value) {
      try {
        generator.writeNumberField(name, value);
        return this;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Appends the line to the buffer, or drops it if the buffer is too full for its importance. */
    public void write() {
      append(bytes(), importance);
    }

    private byte[] bytes() {
      try {
        generator.writeEndObject();
        generator.close();
        bytes.write('\n');
        return bytes.toByteArray();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
