package org.pollenrock.core.stream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.stream.StreamAction.BreakReason;
import org.pollenrock.core.stream.StreamAction.DropReason;

/** Guards against responses with lost, repeated or foreign tokens, and false end markers. */
class StreamAssemblerTest {
  private static final int LENGTH = 8;
  private static final int ATTEMPTS = 3;

  private static AttemptId attempt(long counter) {
    return new AttemptId(new InstanceId("router-1"), new Incarnation(7), counter);
  }

  @Test
  void endMarkerBeforeAllTokensBreaksTheAttempt() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assembler.token(attempt(1), 0, "a");
    assertThat(assembler.end(attempt(1), OptionalLong.of(2)))
        .isEqualTo(new StreamAction.Broken<>(BreakReason.TOKEN_COUNT, 1));
    assertThat(assembler.ended()).isFalse();
  }

  @Test
  void endMarkerOfAnOlderAttemptDoesNotComplete() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assembler.token(attempt(1), 0, "a");
    assembler.connectionEnded(attempt(1));
    assembler.startAttempt(attempt(2), 1);
    assertThat(assembler.end(attempt(1), OptionalLong.empty()))
        .isEqualTo(new StreamAction.Drop<>(DropReason.OTHER_ATTEMPT));
    assertThat(assembler.token(attempt(2), 0, "b")).isEqualTo(new StreamAction.Relay<>(1, "b"));
    assertThat(assembler.end(attempt(2), OptionalLong.of(1)))
        .isEqualTo(new StreamAction.Complete<>(2));
  }

  @Test
  void lostTokenBreaksTheAttemptAndItsRestIsDropped() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assertThat(assembler.token(attempt(1), 1, "b"))
        .isEqualTo(new StreamAction.Broken<>(BreakReason.GAP, 0));
    assertThat(assembler.token(attempt(1), 0, "a"))
        .isEqualTo(new StreamAction.Drop<>(DropReason.OTHER_ATTEMPT));
  }

  @Test
  void nothingFollowsTheEnd() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assembler.abort();
    assertThat(assembler.token(attempt(1), 0, "a"))
        .isEqualTo(new StreamAction.Drop<>(DropReason.AFTER_END));
    assertThat(assembler.end(attempt(1), OptionalLong.empty()))
        .isEqualTo(new StreamAction.Drop<>(DropReason.AFTER_END));
    assertThatThrownBy(() -> assembler.startAttempt(attempt(2), 0))
        .isInstanceOf(IllegalStateException.class);
  }

  @Test
  void attemptsThatAreOlderOrSkipTokensAreProgrammingErrors() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(2), 0);
    assertThatThrownBy(() -> assembler.startAttempt(attempt(1), 0))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> assembler.startAttempt(attempt(3), 1))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Provide
  Arbitrary<List<Integer>> programs() {
    return Arbitraries.integers()
        .between(0, 99_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(120)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  /** Any interleaving of attempts, with late, repeated, lost and foreign tokens. */
  @Property(seed = "4104", tries = 20_000, shrinking = ShrinkingMode.BOUNDED)
  void anyInterleavingGivesThePrefixInOrderOrAnExplicitFailure(
      @ForAll("programs") List<Integer> program) {
    Wire wire = new Wire();
    for (int step : program) {
      wire.run(step % 8, step / 8);
      wire.check();
    }
    wire.finish();
    wire.check();
  }

  /** Three attempts at one response, each with its own connection. */
  private static final class Wire {
    private final StreamAssembler<String> assembler = new StreamAssembler<>();
    private final List<String> relayed = new ArrayList<>();
    private final int[] offset = new int[ATTEMPTS + 1];
    private final int[] sent = new int[ATTEMPTS + 1];
    private int current;
    private boolean broken = true;
    private boolean complete;
    private boolean endSeen;

    void run(int operation, int argument) {
      int attempt = 1 + argument % ATTEMPTS;
      switch (operation) {
        case 0, 1, 2 -> deliverNext(current == 0 ? attempt : current);
        case 3 -> deliverNext(attempt);
        case 4 -> deliver(attempt, argument / ATTEMPTS % (sent[attempt] + 1));
        case 5 -> sent[attempt] += sent[attempt] + offset[attempt] < LENGTH ? 1 : 0;
        case 6 -> apply(assembler.connectionEnded(attempt(attempt)));
        default -> startNext(argument);
      }
    }

    private void startNext(int argument) {
      if (!broken || complete || current == ATTEMPTS) {
        return;
      }
      current++;
      int next = (int) assembler.nextIndex();
      boolean resume = current > 1 && argument % 2 == 0;
      offset[current] = resume ? offset[current - 1] : next;
      sent[current] = next - offset[current] - (resume && next > offset[current] ? 1 : 0);
      assembler.startAttempt(attempt(current), offset[current]);
      broken = false;
    }

    private void deliverNext(int attempt) {
      if (attempt > current) {
        return;
      }
      deliver(attempt, sent[attempt]);
      sent[attempt]++;
    }

    private void deliver(int attempt, int index) {
      int absolute = offset[attempt] + index;
      if (absolute < LENGTH) {
        apply(assembler.token(attempt(attempt), index, "t" + absolute));
      } else if (absolute == LENGTH) {
        endSeen |= attempt == current && !broken;
        apply(assembler.end(attempt(attempt), OptionalLong.of(index)));
      }
    }

    private void apply(StreamAction<String> action) {
      assertThat(complete && !(action instanceof StreamAction.Drop)).isFalse();
      switch (action) {
        case StreamAction.Relay<String> relay -> {
          assertThat(relay.index()).isEqualTo(relayed.size());
          relayed.add(relay.content());
        }
        case StreamAction.Complete<String> completed -> complete = true;
        case StreamAction.Broken<String> failed -> broken = true;
        case StreamAction.Drop<String> dropped -> {}
      }
    }

    /** A last attempt without faults must always complete a stream that has not ended. */
    void finish() {
      if (complete) {
        return;
      }
      AttemptId last = attempt(ATTEMPTS + 1);
      int next = (int) assembler.nextIndex();
      assembler.startAttempt(last, next);
      for (int index = 0; next + index < LENGTH; index++) {
        apply(assembler.token(last, index, "t" + (next + index)));
      }
      endSeen = true;
      apply(assembler.end(last, OptionalLong.of(LENGTH - next)));
      assertThat(complete).isTrue();
    }

    void check() {
      for (int i = 0; i < relayed.size(); i++) {
        assertThat(relayed.get(i)).isEqualTo("t" + i);
      }
      if (complete) {
        assertThat(relayed).hasSize(LENGTH);
        assertThat(endSeen).isTrue();
      }
    }
  }
}
