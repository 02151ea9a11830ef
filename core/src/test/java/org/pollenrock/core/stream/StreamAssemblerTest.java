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

/**
 * Guards against responses with lost tokens, repeated tokens or tokens of another attempt, and
 * against an end marker on an incomplete response.
 */
class StreamAssemblerTest {
  private static final int TOKEN_COUNT = 8;
  private static final int FAULTY_ATTEMPTS = 3;

  private static AttemptId attempt(long counter) {
    return new AttemptId(new InstanceId("router-1"), new Incarnation(7), counter);
  }

  @Test
  void endMarkerBeforeAllTokensBreaksTheAttempt() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assembler.handleToken(attempt(1), 0, "a");
    assertThat(assembler.handleEndMarker(attempt(1), OptionalLong.of(2)))
        .isEqualTo(new StreamAction.CancelAttempt<>(BreakReason.TOKEN_COUNT, 1));
    assertThat(assembler.isEnded()).isFalse();
  }

  @Test
  void endMarkerOfAnOlderAttemptDoesNotComplete() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assembler.handleToken(attempt(1), 0, "a");
    assembler.handleConnectionEnd(attempt(1));
    assembler.startAttempt(attempt(2), 1);
    assertThat(assembler.handleEndMarker(attempt(1), OptionalLong.empty()))
        .isEqualTo(new StreamAction.Drop<>(DropReason.OTHER_ATTEMPT));
    assertThat(assembler.handleToken(attempt(2), 0, "b"))
        .isEqualTo(new StreamAction.Relay<>(1, "b"));
    assertThat(assembler.handleEndMarker(attempt(2), OptionalLong.of(1)))
        .isEqualTo(new StreamAction.Complete<>(2));
  }

  @Test
  void skippedIndexBreaksTheAttemptAndLaterTokensAreDropped() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assertThat(assembler.handleToken(attempt(1), 1, "b"))
        .isEqualTo(new StreamAction.CancelAttempt<>(BreakReason.GAP, 0));
    assertThat(assembler.handleToken(attempt(1), 0, "a"))
        .isEqualTo(new StreamAction.Drop<>(DropReason.OTHER_ATTEMPT));
  }

  @Test
  void eventsAfterTheEndAreDropped() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(1), 0);
    assembler.abort();
    assertThat(assembler.handleToken(attempt(1), 0, "a"))
        .isEqualTo(new StreamAction.Drop<>(DropReason.AFTER_END));
    assertThat(assembler.handleEndMarker(attempt(1), OptionalLong.empty()))
        .isEqualTo(new StreamAction.Drop<>(DropReason.AFTER_END));
    assertThatThrownBy(() -> assembler.startAttempt(attempt(2), 0))
        .isInstanceOf(IllegalStateException.class);
  }

  @Test
  void startOfAnOlderOrSkippingAttemptThrows() {
    StreamAssembler<String> assembler = new StreamAssembler<>();
    assembler.startAttempt(attempt(2), 0);
    assertThatThrownBy(() -> assembler.startAttempt(attempt(1), 0))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> assembler.startAttempt(attempt(3), 1))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Provide
  Arbitrary<List<Integer>> operationSequences() {
    return Arbitraries.integers()
        .between(0, 99_999)
        .withDistribution(RandomDistribution.uniform())
        .list()
        .ofMaxSize(120)
        .withSizeDistribution(RandomDistribution.uniform());
  }

  /**
   * Guards against wrong tokens under any interleaving of attempts, with late, repeated and lost
   * tokens and tokens of other attempts.
   */
  @Property(seed = "4104", tries = 20_000, shrinking = ShrinkingMode.BOUNDED)
  void tokensAreRelayedInOrderAndCompletelyUnderAnyInterleaving(
      @ForAll("operationSequences") List<Integer> operations) {
    AttemptSimulation simulation = new AttemptSimulation();
    for (int operation : operations) {
      simulation.runOperation(operation % 8, operation / 8);
      simulation.checkRelayedTokens();
    }
    simulation.completeWithFaultlessAttempt();
    simulation.checkRelayedTokens();
  }

  /**
   * Simulates up to three attempts at one response, each with its own connection. The content of a
   * token is {@code t} and its index in the whole response.
   */
  private static final class AttemptSimulation {
    private final StreamAssembler<String> assembler = new StreamAssembler<>();
    private final List<String> relayed = new ArrayList<>();
    private final int[] indexOffset = new int[FAULTY_ATTEMPTS + 1];

    /** The attempt's own index of the token that its connection delivers next. */
    private final int[] nextOwnIndex = new int[FAULTY_ATTEMPTS + 1];

    private int current;
    private boolean broken = true;
    private boolean complete;
    private boolean endMarkerDelivered;

    void runOperation(int operation, int argument) {
      int attempt = 1 + argument % FAULTY_ATTEMPTS;
      switch (operation) {
        case 0, 1, 2 -> deliverNext(current == 0 ? attempt : current);
        case 3 -> deliverNext(attempt);
        case 4 -> deliver(attempt, argument / FAULTY_ATTEMPTS % (nextOwnIndex[attempt] + 1));
        case 5 ->
            nextOwnIndex[attempt] +=
                nextOwnIndex[attempt] + indexOffset[attempt] < TOKEN_COUNT ? 1 : 0;
        case 6 -> apply(assembler.handleConnectionEnd(attempt(attempt)));
        default -> startNextAttempt(argument);
      }
    }

    private void startNextAttempt(int argument) {
      if (!broken || complete || current == FAULTY_ATTEMPTS) {
        return;
      }
      current++;
      int next = (int) assembler.nextTokenIndex();
      boolean resume = current > 1 && argument % 2 == 0;
      indexOffset[current] = resume ? indexOffset[current - 1] : next;
      nextOwnIndex[current] =
          next - indexOffset[current] - (resume && next > indexOffset[current] ? 1 : 0);
      assembler.startAttempt(attempt(current), indexOffset[current]);
      broken = false;
    }

    private void deliverNext(int attempt) {
      if (attempt > current) {
        return;
      }
      deliver(attempt, nextOwnIndex[attempt]);
      nextOwnIndex[attempt]++;
    }

    private void deliver(int attempt, int index) {
      int responseIndex = indexOffset[attempt] + index;
      if (responseIndex < TOKEN_COUNT) {
        apply(assembler.handleToken(attempt(attempt), index, "t" + responseIndex));
      } else if (responseIndex == TOKEN_COUNT) {
        endMarkerDelivered |= attempt == current && !broken;
        apply(assembler.handleEndMarker(attempt(attempt), OptionalLong.of(index)));
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
        case StreamAction.CancelAttempt<String> cancelled -> broken = true;
        case StreamAction.Drop<String> dropped -> {}
      }
    }

    /** Checks that a further attempt without faults completes a stream that has not ended. */
    void completeWithFaultlessAttempt() {
      if (complete) {
        return;
      }
      AttemptId last = attempt(FAULTY_ATTEMPTS + 1);
      int next = (int) assembler.nextTokenIndex();
      assembler.startAttempt(last, next);
      for (int index = 0; next + index < TOKEN_COUNT; index++) {
        apply(assembler.handleToken(last, index, "t" + (next + index)));
      }
      endMarkerDelivered = true;
      apply(assembler.handleEndMarker(last, OptionalLong.of(TOKEN_COUNT - next)));
      assertThat(complete).isTrue();
    }

    void checkRelayedTokens() {
      for (int i = 0; i < relayed.size(); i++) {
        assertThat(relayed.get(i)).isEqualTo("t" + i);
      }
      if (complete) {
        assertThat(relayed).hasSize(TOKEN_COUNT);
        assertThat(endMarkerDelivered).isTrue();
      }
    }
  }
}
