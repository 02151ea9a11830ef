package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.FastThreadLocal;
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

  private static final int WINDOW_BYTES = 4_096;

  /** Bytes of the stream while they are scanned, as an array is read faster than a buffer. */
  private static final FastThreadLocal<byte[]> WINDOW =
      new FastThreadLocal<>() {
        @Override
        protected byte[] initialValue() {
          return new byte[WINDOW_BYTES];
        }
      };

  private final EventScanner scanner = new EventScanner();
  private final ByteBufAllocator allocator;
  private final BodyMemory memory;
  private ByteBuf partialEvent = Unpooled.EMPTY_BUFFER;

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
    byte[] window = WINDOW.get();
    ReservedBuffer events = null;
    int end = bytes.writerIndex();
    int eventStart = bytes.readerIndex();
    int copyStart = eventStart;
    for (int start = eventStart; start < end; start += window.length) {
      int length = Math.min(window.length, end - start);
      bytes.getBytes(start, window, 0, length);
      for (int next = scanner.skipEvent(window, 0, length);
          next >= 0;
          next = scanner.skipEvent(window, next, length)) {
        if (events == null) {
          events = new ReservedBuffer(allocator, memory);
          if (!events.tryGrow(partialEvent.readableBytes() + bytes.readableBytes())) {
            events.release();
            lacksMemory = true;
            return Optional.empty();
          }
        }
        boolean accepted = acceptIfNew();
        if (accepted && partialEvent.isReadable()) {
          events.writeBytes(partialEvent);
        } else if (!accepted) {
          events.writeBytes(bytes, copyStart, eventStart - copyStart);
          copyStart = start + next;
        }
        releasePartialEvent();
        eventStart = start + next;
      }
    }
    if (events != null) {
      events.writeBytes(bytes, copyStart, eventStart - copyStart);
    }
    if (eventStart < end) {
      keepFrom(bytes, eventStart);
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
    releasePartialEvent();
    scanner.reset();
    lacksMemory = false;
  }

  private void releasePartialEvent() {
    if (reservedBytes == 0) {
      return;
    }
    partialEvent.release();
    partialEvent = Unpooled.EMPTY_BUFFER;
    memory.free(reservedBytes);
    reservedBytes = 0;
  }

  /** Keeps the received bytes from an index on as bytes of the incomplete event. */
  private void keepFrom(ByteBuf bytes, int index) {
    int length = bytes.writerIndex() - index;
    if (tryGrow(length)) {
      partialEvent.writeBytes(bytes, index, length);
    } else {
      lacksMemory = true;
    }
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

  /** Ends an event; returns whether it is passed on. */
  private boolean acceptIfNew() {
    // A stream can't be resumed after an event without a valid number.
    if (scanner.hasNumber()) {
      if (hasNumber && scanner.number() <= lastNumber) {
        return false;
      }
      hasNumber = true;
      lastNumber = scanner.number();
    }
    passedEvents++;
    return true;
  }
}
