package org.pollenrock.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Compares the events of streams, divided at any byte, with those of a plain reader of lines. */
class EventSplitterStreamTest {
  private static final List<String> VALUES =
      List.of(
          "",
          " ",
          "\t 7 \u0001",
          "+8",
          "-9",
          " +",
          "-",
          "- 4",
          "1 2",
          "3x",
          "\u00b2",
          "12\u0085",
          "--5",
          "0000000000000000000000000010",
          "9223372036854775806",
          "9223372036854775807",
          "9223372036854775808",
          "-9223372036854775808",
          "-9223372036854775809",
          "92233720368547758070",
          "18446744073709551621");
  private static final List<String> LINES =
      List.of("\r", "i", "id", "id :1", " id: 1", "ix", "idx: 2", "\r\r", "\rid: 3", ":", "data: ");

  /** What is passed on of a stream. */
  private static final class Result {
    private final StringBuilder events = new StringBuilder();
    private OptionalLong lastNumber;
    private long count;
    private boolean insideEvent;
  }

  private static Result readLines(String stream, OptionalLong last) {
    Result result = new Result();
    result.lastNumber = last;
    int eventStart = 0;
    int lineStart = 0;
    String id = null;
    for (int end = stream.indexOf('\n'); end >= 0; end = stream.indexOf('\n', lineStart)) {
      String line = stream.substring(lineStart, end);
      lineStart = end + 1;
      if (id == null && line.startsWith("id:")) {
        id = line.substring(3).trim();
      }
      if (line.isEmpty() || line.equals("\r")) {
        OptionalLong number = number(id);
        boolean repeated =
            number.isPresent()
                && result.lastNumber.isPresent()
                && number.getAsLong() <= result.lastNumber.getAsLong();
        if (!repeated) {
          result.events.append(stream, eventStart, lineStart);
          result.count++;
          result.lastNumber = number.isPresent() ? number : result.lastNumber;
        }
        eventStart = lineStart;
        id = null;
      }
    }
    result.insideEvent = eventStart < stream.length();
    return result;
  }

  private static OptionalLong number(String text) {
    try {
      return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static void assertSame(String stream, OptionalLong last, List<Integer> cuts) {
    BodyMemory memory = new BodyMemory(Long.MAX_VALUE);
    EventSplitter splitter = new EventSplitter(ByteBufAllocator.DEFAULT, memory, last);
    StringBuilder events = new StringBuilder();
    int start = 0;
    for (int cut : cuts) {
      ByteBuf bytes = Unpooled.copiedBuffer("#" + stream.substring(start, cut), ISO_8859_1);
      bytes.skipBytes(1);
      splitter
          .push(bytes)
          .ifPresent(
              passed -> {
                events.append(passed.toString(ISO_8859_1));
                passed.release();
              });
      assertThat(bytes.release()).isTrue();
      start = cut;
    }
    Result expected = readLines(stream, last);
    assertThat(events).as("cuts %s", cuts).hasToString(expected.events.toString());
    assertThat(splitter.lastEventNumber()).as("cuts %s", cuts).isEqualTo(expected.lastNumber);
    assertThat(splitter.eventCount()).isEqualTo(expected.count);
    assertThat(splitter.hasPartialEvent()).isEqualTo(expected.insideEvent);
    splitter.release();
    assertThat(memory.heldBytes()).isZero();
  }

  @Test
  void numbersAreReadAsBeforeWhereverTheyAreCut() {
    for (String value : VALUES) {
      String stream = "data: a\nid:" + value + "\nid: 99\n\nid: 5\r\ndata: b\r\n\r\n";
      for (int cut = 1; cut < stream.length(); cut++) {
        assertSame(stream, OptionalLong.empty(), List.of(cut, stream.length()));
        assertSame(stream, OptionalLong.of(4), List.of(cut, stream.length()));
      }
    }
  }

  @Property(tries = 500, seed = "7")
  void randomStreamsPassAsBeforeWhereverTheyAreCut(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StringBuilder stream = new StringBuilder();
    int lines = random.nextInt(1, 60);
    for (int i = 0; i < lines; i++) {
      switch (random.nextInt(6)) {
        case 0 -> stream.append("id: ").append(random.nextInt(20));
        case 1 -> stream.append("id:").append(VALUES.get(random.nextInt(VALUES.size())));
        case 2 -> stream.append(LINES.get(random.nextInt(LINES.size())));
        case 3 -> stream.append("data: ").append("x".repeat(random.nextInt(6) == 0 ? 5_000 : 9));
        default -> stream.append(random.nextInt(4) == 0 ? "\r" : "");
      }
      stream.append(i == lines - 1 && random.nextBoolean() ? "" : "\n");
    }
    int maxLength = random.nextBoolean() ? 12 : 12_000;
    List<Integer> cuts = new ArrayList<>();
    for (int cut = 0; cut < stream.length(); ) {
      cut = Math.min(stream.length(), cut + random.nextInt(1, maxLength));
      cuts.add(cut);
    }
    OptionalLong last =
        random.nextBoolean() ? OptionalLong.empty() : OptionalLong.of(random.nextInt(10));
    assertSame(stream.toString(), last, cuts);
  }

  // Guards against events that are lost since they count as passed on.
  @Test
  void eventsForWhichNoMemoryIsLeftDoNotCount() {
    BodyMemory memory = new BodyMemory(300);
    EventSplitter splitter =
        new EventSplitter(ByteBufAllocator.DEFAULT, memory, OptionalLong.empty());
    ByteBuf first = Unpooled.copiedBuffer("id: 1\n\n", ISO_8859_1);
    ByteBuf second = Unpooled.copiedBuffer("id: 2\n\nid: 3\n\nid: 4\nda", ISO_8859_1);
    ByteBuf passed = splitter.push(first).orElseThrow();
    assertThat(splitter.push(second)).isEmpty();
    assertThat(splitter.lacksMemory()).isTrue();
    assertThat(splitter.lastEventNumber()).hasValue(1);
    assertThat(splitter.eventCount()).isEqualTo(1);
    passed.release();
    splitter.discardPartialEvent();
    assertThat(splitter.push(second).orElseThrow().release()).isTrue();
    assertThat(splitter.lastEventNumber()).hasValue(3);
    splitter.release();
    assertThat(memory.heldBytes()).isZero();
    first.release();
    second.release();
  }
}
