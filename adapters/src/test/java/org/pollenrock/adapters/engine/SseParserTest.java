package org.pollenrock.adapters.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Guards against tokens that are lost, joined or invented by the way a stream is cut. */
class SseParserTest {
  private static final int MAX_LINE = 64;
  private static final int MAX_EVENT = 128;

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<SseEvent> parse(byte[] stream, int... cuts) {
    SseParser parser = new SseParser(MAX_LINE, MAX_EVENT);
    List<SseEvent> events = new ArrayList<>();
    int from = 0;
    for (int cut : cuts) {
      parser.feed(Arrays.copyOfRange(stream, from, cut), events::add);
      from = cut;
    }
    parser.feed(Arrays.copyOfRange(stream, from, stream.length), events::add);
    return events;
  }

  @Test
  void readsFieldsCommentsAndLineEnds() {
    String text =
        "\uFEFF: comment\n"
            + "id: 1\n"
            + "event: token\n"
            + "data: a\n"
            + "data:b\n\r\n"
            + "id: 2\r\n"
            + "data: c\r\r"
            + "retry: 5\n\n";
    assertThat(parse(bytes(text)))
        .containsExactly(
            new SseEvent(Optional.of("1"), "token", "a\nb"),
            new SseEvent(Optional.of("2"), "message", "c"));
  }

  @Test
  void everyCutGivesTheSameEvents() {
    byte[] stream = bytes("id: 1\r\ndata: ä\r\n\r\ndata: x\n\ndata: [DONE]\n\n");
    List<SseEvent> whole = parse(stream);
    assertThat(whole).hasSize(3);
    for (int first = 0; first <= stream.length; first++) {
      for (int second = first; second <= stream.length; second++) {
        assertThat(parse(stream, first, second)).isEqualTo(whole);
      }
    }
  }

  @Test
  void boundsHoldWhateverTheCut() {
    SseParser line = new SseParser(MAX_LINE, MAX_EVENT);
    assertThat(line.feed(bytes("data: " + "x".repeat(MAX_LINE)), event -> {}))
        .isEqualTo(SseParser.Status.LINE_TOO_LONG);
    SseParser event = new SseParser(MAX_LINE, MAX_EVENT);
    assertThat(event.feed(bytes(("data: " + "x".repeat(40) + "\n").repeat(4)), e -> {}))
        .isEqualTo(SseParser.Status.EVENT_TOO_LARGE);
    assertThat(event.feed(bytes("\n\ndata: y\n\n"), e -> assertThat(e).isNull()))
        .isEqualTo(SseParser.Status.EVENT_TOO_LARGE);
  }

  /** Random and mutated streams never exceed the bounds and depend on the bytes alone. */
  @Property(seed = "7401", tries = 2_000, shrinking = ShrinkingMode.OFF)
  void randomStreamsAreParsedTheSameInOneAndInManyParts(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] stream = bytes("id: 1\r\ndata: one\r\n\r\nevent: e\ndata: two\n\n: c\n\n".repeat(3));
    for (int i = random.nextInt(12); i > 0; i--) {
      byte[] special = {'\n', '\r', ':', ' ', 0, (byte) 0xC3, 'd', (byte) random.nextInt()};
      stream[random.nextInt(stream.length)] = special[random.nextInt(special.length)];
    }
    int[] cuts = random.ints(6, 0, stream.length + 1).sorted().toArray();
    List<SseEvent> whole = parse(stream);
    assertThat(parse(stream, cuts)).isEqualTo(whole);
    assertThat(whole).allSatisfy(event -> assertThat(event.data().length()).isLessThan(MAX_EVENT));
  }

  /** Guards against sound events that count as the head of another response. */
  @Test
  void eventsThatQuoteAResponseArePassedOn() {
    List<String> data = new ArrayList<>();
    SseParser parser = new SseParser(1_000, 1_000);
    String stream =
        "id: 1\nretry: 5\ndata: HTTP/1.1 200 OK\n: comment\n\nextra: x\ndata: y\n\n"
            + "data: HTTP/1.1 404 Not Found\ndata: Server: z\n\n";
    assertThat(parser.feed(bytes(stream), event -> data.add(event.data())))
        .isEqualTo(SseParser.Status.OK);
    assertThat(data).containsExactly("HTTP/1.1 200 OK", "y", "HTTP/1.1 404 Not Found\nServer: z");
  }
}
