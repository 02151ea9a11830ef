package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests the limit on the memory of bodies, and that all of it is given back. */
class BodyMemoryTest {
  private static final int LIMIT_BYTES = 4 << 20;
  private static final int PIECE_BYTES = 48 << 10;

  private final BodyMemory memory = new BodyMemory(LIMIT_BYTES);

  // Guards against a buffer that holds more than is reserved for it.
  @Test
  void capacityOfABufferIsReservedUntilItIsReleased() {
    ReservedBuffer buffer = newBuffer();
    int pieces = 0;
    while (append(buffer)) {
      pieces++;
      assertThat(memory.heldBytes()).isEqualTo(buffer.capacity());
    }
    assertThat(buffer.readableBytes()).isEqualTo(pieces * PIECE_BYTES);
    assertThat(memory.heldBytes()).isLessThan(LIMIT_BYTES);
    assertThat(memory.failureCount()).isEqualTo(1);
    ByteBuf slice = buffer.retainedSlice(0, 1);
    buffer.release();
    assertThat(memory.heldBytes()).isEqualTo(buffer.capacity());
    slice.release();
    assertThat(memory.heldBytes()).isZero();
  }

  // Guards against small responses that fail since large ones hold all memory.
  @Test
  void smallBodyPassesBesideLargeOnes() {
    List<ReservedBuffer> buffers = new ArrayList<>();
    do {
      buffers.add(newBuffer());
    } while (append(buffers.getLast()) && append(buffers.getLast()));
    ReservedBuffer small = newBuffer();
    assertThat(append(small)).isTrue();
    assertThat(append(small)).isFalse();
    small.release();
    buffers.forEach(ByteBuf::release);
    assertThat(memory.heldBytes()).isZero();
  }

  // Guards against events that are kept for many streams, and for callers who do not read them.
  @Test
  void eventsStayWithinTheLimit() {
    ByteBuf piece = Unpooled.copiedBuffer("data: a\n\ndata: b", StandardCharsets.US_ASCII);
    List<EventSplitter> splitters = new ArrayList<>();
    List<ByteBuf> events = new ArrayList<>();
    EventSplitter splitter;
    do {
      splitter = new EventSplitter(ByteBufAllocator.DEFAULT, memory, OptionalLong.empty());
      splitters.add(splitter);
      splitter.push(piece).ifPresent(events::add);
    } while (!splitter.lacksMemory());
    assertThat(memory.heldBytes()).isLessThanOrEqualTo(LIMIT_BYTES);
    events.forEach(ByteBuf::release);
    splitters.forEach(EventSplitter::release);
    assertThat(memory.heldBytes()).isZero();
    assertThat(splitter.push(piece)).hasValueSatisfying(ByteBuf::release);
    splitter.release();
    piece.release();
    assertThat(memory.heldBytes()).isZero();
  }

  private ReservedBuffer newBuffer() {
    return new ReservedBuffer(ByteBufAllocator.DEFAULT, memory);
  }

  private static boolean append(ReservedBuffer buffer) {
    ByteBuf piece = Unpooled.wrappedBuffer(new byte[PIECE_BYTES]);
    try {
      return buffer.append(piece);
    } finally {
      piece.release();
    }
  }
}
