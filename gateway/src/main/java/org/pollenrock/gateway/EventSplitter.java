package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events, so that only complete events are
 * relayed.
 *
 * <p>An event ends with an empty line. Events whose number is not greater than the last one passed
 * on are dropped, because a server that continues a stream may repeat them.
 */
final class EventSplitter {
  /** Maximum size of an event; a server that sends a larger one is treated as faulty. */
  static final int MAX_EVENT_BYTES = 1 << 20;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBufAllocator allocator;
  private final BodyMemory memory;
  private ByteBuf partialEvent = Unpooled.EMPTY_BUFFER;

  /** Number of bytes of the incomplete event that form whole lines. */
  private int scannedBytes;

  private long lastNumber;
  private boolean hasNumber;
  private long passedEvents;
  private long reservedBytes;
  private boolean lacksMemory;

  EventSplitter(ByteBufAllocator allocator, BodyMemory memory, OptionalLong lastEventNumber) {
    this.allocator = allocator;
    this.memory = memory;
    this.hasNumber = lastEventNumber.isPresent();
    this.lastNumber = lastEventNumber.orElse(0);
  }

  /**
   * Adds bytes of the stream.
   *
   * @param bytes the bytes, which are not released
   * @return the events that are complete now and not repeated; the caller has to release them
   */
  Optional<ByteBuf> push(ByteBuf bytes) {
    if (!tryGrow(bytes.readableBytes())) {
      lacksMemory = true;
      return Optional.empty();
    }
    int searchStart = partialEvent.writerIndex();
    partialEvent.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    ByteBuf buffered = partialEvent;
    ReservedBuffer events = null;
    int eventStart = buffered.readerIndex();
    int lineStart = eventStart + scannedBytes;
    while (true) {
      int lineEnd = buffered.indexOf(searchStart, buffered.writerIndex(), (byte) '\n');
      if (lineEnd < 0) {
        break;
      }
      boolean blank =
          lineEnd == lineStart || lineEnd == lineStart + 1 && buffered.getByte(lineStart) == '\r';
      lineStart = lineEnd + 1;
      searchStart = lineStart;
      if (blank) {
        if (events == null) {
          events = new ReservedBuffer(allocator, memory);
          if (!events.tryGrow(buffered.readableBytes())) {
            events.release();
            lacksMemory = true;
            return Optional.empty();
          }
        }
        ByteBuf event = buffered.slice(eventStart, lineStart - eventStart);
        if (acceptIfNew(event)) {
          events.writeBytes(event);
        }
        eventStart = lineStart;
      }
    }
    scannedBytes = lineStart - eventStart;
    if (eventStart > buffered.readerIndex()) {
      keepFrom(eventStart);
    }
    if (events != null && !events.isReadable()) {
      events.release();
      return Optional.empty();
    }
    return Optional.ofNullable(events);
  }

  /** Discards the bytes of an incomplete event, before another server continues the stream. */
  void discardPartialEvent() {
    release();
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return partialEvent.isReadable();
  }

  /** Returns whether no memory was left for bytes of the stream, so that they are lost. */
  boolean lacksMemory() {
    return lacksMemory;
  }

  /** Returns whether the incomplete event exceeds the maximum size. */
  boolean isEventTooLong() {
    return partialEvent.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Returns the number of the last event passed on; empty if no event had one. */
  OptionalLong lastEventNumber() {
    return hasNumber ? OptionalLong.of(lastNumber) : OptionalLong.empty();
  }

  /** Returns the number of events passed on. */
  long eventCount() {
    return passedEvents;
  }

  /** Releases the buffered bytes. */
  void release() {
    partialEvent.release();
    partialEvent = Unpooled.EMPTY_BUFFER;
    scannedBytes = 0;
    lacksMemory = false;
    memory.free(reservedBytes);
    reservedBytes = 0;
  }

  /** Keeps only the buffered bytes from an index on, in a buffer of their size. */
  private void keepFrom(int index) {
    ByteBuf buffered = partialEvent;
    buffered.readerIndex(index);
    partialEvent =
        buffered.isReadable()
            ? allocator.buffer(buffered.readableBytes()).writeBytes(buffered)
            : Unpooled.EMPTY_BUFFER;
    buffered.release();
    memory.free(reservedBytes - partialEvent.readableBytes());
    reservedBytes = partialEvent.readableBytes();
  }

  /** Makes room for further bytes of the incomplete event; returns false if no memory is left. */
  private boolean tryGrow(int bytes) {
    int requiredBytes = partialEvent.writerIndex() + bytes;
    if (requiredBytes <= partialEvent.capacity()) {
      return true;
    }
    int newCapacity = Math.max(requiredBytes, 2 * partialEvent.capacity());
    if (!memory.tryReserveMore(reservedBytes, newCapacity - reservedBytes)) {
      return false;
    }
    reservedBytes = newCapacity;
    if (partialEvent.isReadable()) {
      partialEvent.capacity(newCapacity);
    } else {
      partialEvent.release();
      partialEvent = allocator.buffer(newCapacity);
    }
    return true;
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
    int lineStart = event.readerIndex();
    int end = event.writerIndex();
    while (lineStart < end) {
      int lineEnd = event.indexOf(lineStart, end, (byte) '\n');
      int lineStop = lineEnd < 0 ? end : lineEnd;
      if (startsWithId(event, lineStart, lineStop)) {
        return parseLong(
            event
                .toString(lineStart + 3, lineStop - lineStart - 3, StandardCharsets.US_ASCII)
                .trim());
      }
      lineStart = lineStop + 1;
    }
    return OptionalLong.empty();
  }

  private static boolean startsWithId(ByteBuf event, int lineStart, int lineStop) {
    if (lineStop - lineStart < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (event.getByte(lineStart + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private static OptionalLong parseLong(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      // An event without a valid number is passed on, but a stream can't be resumed after it.
      return OptionalLong.empty();
    }
  }
}
