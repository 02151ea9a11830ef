package org.pollenrock.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledHeapByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests that no event is split, repeated or lost, however the stream is cut into buffers. */
class EventSplitterTest {
  private static String pushText(EventSplitter splitter, String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    String out = splitter.push(bytes).map(EventSplitterTest::text).orElse("");
    bytes.release();
    return out;
  }

  private static String text(ByteBuf bytes) {
    String text = bytes.toString(StandardCharsets.UTF_8);
    bytes.release();
    return text;
  }

  private static EventSplitter splitter(OptionalLong last) {
    return new EventSplitter(ByteBufAllocator.DEFAULT, new BodyMemory(Long.MAX_VALUE), last);
  }

  @Test
  void passesOnWholeEventsOnly() {
    EventSplitter splitter = splitter(OptionalLong.empty());
    assertThat(pushText(splitter, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.hasPartialEvent()).isTrue();
    assertThat(splitter.lastEventNumber()).hasValue(1);
    assertThat(pushText(splitter, "ta: b\r\n\r\n")).isEqualTo("id: 2\ndata: b\r\n\r\n");
    assertThat(splitter.hasPartialEvent()).isFalse();
    assertThat(splitter.lastEventNumber()).hasValue(2);
  }

  @Test
  void dropsRepeatedEventsAndDiscardsPartialEvent() {
    EventSplitter splitter = splitter(OptionalLong.of(4));
    assertThat(pushText(splitter, "id: 4\ndata: old\n\nid: 5\ndata: new\n\nid: 6\nd"))
        .isEqualTo("id: 5\ndata: new\n\n");
    splitter.discardPartialEvent();
    assertThat(pushText(splitter, "id: 5\ndata: new\n\nid: 6\ndata: x\n\n"))
        .isEqualTo("id: 6\ndata: x\n\n");
    assertThat(splitter.eventCount()).isEqualTo(2);
  }

  @Test
  void passesOnEventsWithoutNumber() {
    EventSplitter splitter = splitter(OptionalLong.empty());
    assertThat(pushText(splitter, "weight-versions: 3\ndata: a\n\nid: x\ndata: b\n\n"))
        .isEqualTo("weight-versions: 3\ndata: a\n\nid: x\ndata: b\n\n");
    assertThat(splitter.lastEventNumber()).isEmpty();
  }

  @Property(tries = 300, seed = "5")
  void reassemblesStreamFromArbitraryFragments(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StringBuilder stream = new StringBuilder();
    int events = random.nextInt(1, 20);
    for (int i = 1; i <= events; i++) {
      stream.append("id: ").append(i).append("\ndata: ").append("é".repeat(random.nextInt(9)));
      stream.append("\n\n");
    }
    byte[] bytes = stream.toString().getBytes(StandardCharsets.UTF_8);
    EventSplitter splitter = splitter(OptionalLong.empty());
    ByteBuf out = Unpooled.buffer();
    for (int offset = 0; offset < bytes.length; ) {
      int length = Math.min(bytes.length - offset, random.nextInt(1, 12));
      ByteBuf fragment = Unpooled.copiedBuffer(bytes, offset, length);
      splitter
          .push(fragment)
          .ifPresent(
              complete -> {
                out.writeBytes(complete);
                complete.release();
              });
      fragment.release();
      offset += length;
    }
    assertThat(text(out)).isEqualTo(stream.toString());
    assertThat(splitter.lastEventNumber()).hasValue(events);
    assertThat(splitter.hasPartialEvent()).isFalse();
  }

  // Guards against copying a large unfinished event again for each piece of input.
  @Test
  void largeEventIsNotCopiedForEachPiece() {
    CountingAllocator allocator = new CountingAllocator();
    EventSplitter splitter =
        new EventSplitter(allocator, new BodyMemory(Long.MAX_VALUE), OptionalLong.empty());
    int eventBytes = EventSplitter.MAX_EVENT_BYTES / 2;
    ByteBuf piece = allocator.heapBuffer(1_024).writeBytes("a".repeat(1_024).getBytes(US_ASCII));
    for (int pushed = 0; pushed < eventBytes; pushed += piece.readableBytes()) {
      assertThat(splitter.push(piece)).isEmpty();
    }
    piece.release();
    assertThat(pushText(splitter, "\n\n")).hasSize(eventBytes + 2);
    assertThat(allocator.allocatedBytes).isLessThan(8L * eventBytes);
  }

  /** Allocator that counts the bytes of all buffers, including those that a buffer grows by. */
  private static final class CountingAllocator extends AbstractByteBufAllocator {
    private long allocatedBytes;

    private CountingAllocator() {
      super(false);
    }

    @Override
    public boolean isDirectBufferPooled() {
      return false;
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
      throw new UnsupportedOperationException("heap buffers only");
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
      return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity) {
        @Override
        protected byte[] allocateArray(int capacity) {
          allocatedBytes += capacity;
          return super.allocateArray(capacity);
        }
      };
    }
  }
}
