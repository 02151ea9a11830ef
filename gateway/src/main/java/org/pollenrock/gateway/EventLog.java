package org.pollenrock.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * JSON lines on an output stream, written by a thread of their own from a bounded buffer.
 *
 * <p>Writing a line never blocks. While the reader is slow, lines of good outcomes are dropped
 * first, once half of the buffer is full; when it is full, every line is. A later line tells how
 * many.
 */
public final class EventLog {
  /** Bytes that wait for the reader at most. */
  public static final int CAPACITY_BYTES = 512 * 1024;

  /** Interval at which lines are written, in milliseconds; each write costs a wake-up. */
  private static final long WRITE_INTERVAL_MILLIS = 100;

  /** How much a line matters when not all can be kept. */
  public enum Importance {
    /** Needed to explain a failure. */
    ESSENTIAL,
    /** Tells of a good outcome. */
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
   * @param out where lines go
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
   * Writes what is left and stops.
   *
   * @param waitMillis longest time to wait for the reader
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
   * @param weight how much the line matters
   * @return the line, to be completed by {@link Line#write}
   */
  public Line line(String event, Importance weight) {
    return new Line(event, weight);
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
   * Lines that were dropped.
   *
   * @return the number since the start
   */
  public long droppedLines() {
    return dropped.get();
  }

  private void append(byte[] line, Importance weight) {
    int limit = weight == Importance.ROUTINE ? CAPACITY_BYTES / 2 : CAPACITY_BYTES;
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
    long reported = 0;
    while (true) {
      ByteArrayOutputStream full;
      boolean last;
      synchronized (lock) {
        last = stopped || !awaitInterval();
        full = filling;
        filling = spare;
        spare = full;
      }
      if (dropped.get() > reported) {
        reported = dropped.get();
        full.writeBytes(
            new Line("log_lines_dropped", Importance.ESSENTIAL).with("total", reported).bytes());
      }
      boolean written = flush(full);
      synchronized (lock) {
        pendingBytes = filling.size();
        full.reset();
        if (last && filling.size() == 0 || !written) {
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
      // Nobody reads the log any more; serving goes on, and the metrics count what is dropped.
      dropped.incrementAndGet();
      return false;
    }
  }

  /** One line; fields appear in the order in which they are added. */
  public final class Line {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    private final Importance importance;
    private JsonGenerator generator;

    private Line(String event, Importance weight) {
      this.importance = weight;
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
     * Adds a text.
     *
     * @param name name of the field
     * @param value its value; a field without one is left out
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
     * Adds a number.
     *
     * @param name name of the field
     * @param value its value
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

    /** Hands the line to the writing thread, or drops it when the buffer is full. */
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
