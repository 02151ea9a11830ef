package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream at the ends of events, so that only whole events are passed on.
 *
 * <p>An event ends with an empty line. Events with a number up to the last one passed on are
 * dropped: a server that goes on with a stream may repeat them.
 */
final class EventSplitter {
  /** Longest event; a server that sends a longer one is taken as faulty. */
  static final int MAX_EVENT_BYTES = 1 << 20;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBufAllocator allocator;
  private ByteBuf partialEvent = Unpooled.EMPTY_BUFFER;
  private long lastNumber;
  private boolean hasNumber;
  private long passedEvents;

  EventSplitter(ByteBufAllocator allocator, OptionalLong lastEvent) {
    this.allocator = allocator;
    this.hasNumber = lastEvent.isPresent();
    this.lastNumber = lastEvent.orElse(0);
  }

  /**
   * Takes bytes of the stream.
   *
   * @param bytes the bytes; not released
   * @return whole events to pass on; the caller releases them
   */
  Optional<ByteBuf> push(ByteBuf bytes) {
    ByteBuf all = join(bytes);
    ByteBuf out = null;
    int eventStart = all.readerIndex();
    int lineStart = eventStart;
    while (true) {
      int lineEnd = all.indexOf(lineStart, all.writerIndex(), (byte) '\n');
      if (lineEnd < 0) {
        break;
      }
      boolean blank =
          lineEnd == lineStart || lineEnd == lineStart + 1 && all.getByte(lineStart) == '\r';
      lineStart = lineEnd + 1;
      if (blank) {
        ByteBuf event = all.slice(eventStart, lineStart - eventStart);
        if (acceptIfNew(event)) {
          out = out == null ? allocator.buffer(all.readableBytes()) : out;
          out.writeBytes(event);
        }
        eventStart = lineStart;
      }
    }
    all.readerIndex(eventStart);
    partialEvent = all.isReadable() ? all.copy() : Unpooled.EMPTY_BUFFER;
    all.release();
    return Optional.ofNullable(out);
  }

  /** Forgets a part of an event, before another server goes on with the stream. */
  void discardPartialEvent() {
    release();
  }

  /** Whether bytes of an event that has not ended are held. */
  boolean hasPartialEvent() {
    return partialEvent.isReadable();
  }

  /** Whether an event grew beyond all bounds. */
  boolean isEventTooLong() {
    return partialEvent.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Number of the last event passed on. */
  OptionalLong lastEventNumber() {
    return hasNumber ? OptionalLong.of(lastNumber) : OptionalLong.empty();
  }

  /** Events passed on. */
  long eventCount() {
    return passedEvents;
  }

  void release() {
    partialEvent.release();
    partialEvent = Unpooled.EMPTY_BUFFER;
  }

  private ByteBuf join(ByteBuf bytes) {
    if (!partialEvent.isReadable()) {
      return bytes.copy();
    }
    ByteBuf all = allocator.buffer(partialEvent.readableBytes() + bytes.readableBytes());
    all.writeBytes(partialEvent).writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    partialEvent.release();
    return all;
  }

  private boolean acceptIfNew(ByteBuf event) {
    OptionalLong number = parseNumber(event);
    if (number.isPresent()) {
      if (hasNumber && number.getAsLong() <= lastNumber) {
        return false;
      }
      hasNumber = true;
      lastNumber = number.getAsLong();
    }
    passedEvents++;
    return true;
  }

  private static OptionalLong parseNumber(ByteBuf event) {
    int at = event.readerIndex();
    int end = event.writerIndex();
    while (at < end) {
      int lineEnd = event.indexOf(at, end, (byte) '\n');
      int stop = lineEnd < 0 ? end : lineEnd;
      if (startsWithId(event, at, stop)) {
        return parseLong(event.toString(at + 3, stop - at - 3, StandardCharsets.US_ASCII).trim());
      }
      at = stop + 1;
    }
    return OptionalLong.empty();
  }

  private static boolean startsWithId(ByteBuf event, int at, int stop) {
    if (stop - at < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (event.getByte(at + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private static OptionalLong parseLong(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      // An event without a readable number is passed on, but no stream can be resumed after it.
      return OptionalLong.empty();
    }
  }
}
