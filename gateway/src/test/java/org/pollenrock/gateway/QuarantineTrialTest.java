package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.CrashSuspects;

/**
 * Guards against sound parts that stay refused everywhere after crashes that they did not cause,
 * and against trials that let a bad part reach engine after engine.
 */
class QuarantineTrialTest {
  private static final int CONTACT_MILLIS = 3_000;

  /** Time between two requests at different instances. */
  private static final int STEP_MILLIS = 20;

  /** Time that an engine needs for a sound request. */
  private static final int RESPONSE_MILLIS = 1_000;

  private static final int COUNTED_CRASHES = 5;
  private static final int MAX_REACHED = 3;
  private static final int RECOVERY_MILLIS = 12_000;

  /** All requests have both shared parts. */
  private static final CrashSuspects PROMPT =
      new CrashSuspects(
          Optional.of(
              new Prompt(
                  "m",
                  220,
                  10,
                  List.of(
                      new PromptPart("a", 100),
                      new PromptPart("b", 100),
                      new PromptPart("own", 20)))),
          Optional.empty());

  private final Random random = new Random();
  private final QuarantineFleet fleet = new QuarantineFleet(random);
  private int sent;

  static Stream<Arguments> fleets() {
    return IntStream.of(1, 4, 38, 396)
        .boxed()
        .flatMap(size -> IntStream.range(0, 5).mapToObj(seed -> Arguments.of(size, seed)));
  }

  private void start(int size, long seed) {
    random.setSeed(seed);
    fleet.addInstances(size);
  }

  private QuarantineFleet.Instance randomInstance() {
    return fleet.instances().get(random.nextInt(fleet.instances().size()));
  }

  /** Ends engines under requests of different instances, while nothing completes. */
  private void crashEngines(int count) {
    for (int i = 0; i < count; i++) {
      randomInstance().crash(PROMPT);
      fleet.run(1_000);
    }
  }

  /** Offers a request to an instance, and returns whether it is sent to an engine. */
  private boolean send(QuarantineFleet.Instance instance) {
    if (instance.isQuarantined(PROMPT)) {
      return false;
    }
    instance.quarantine().recordSend(PROMPT, fleet.nowNanos());
    sent++;
    return true;
  }

  private long refusingCount() {
    return fleet.instances().stream().filter(each -> each.isQuarantined(PROMPT)).count();
  }

  /** Requests that come again and again are refused, until one of them has completed. */
  private void assertRecovers() {
    int completionMillis = -1;
    QuarantineFleet.Instance trier = null;
    for (int millis = 0; millis < RECOVERY_MILLIS; millis += STEP_MILLIS) {
      for (QuarantineFleet.Instance instance : fleet.instances()) {
        if (completionMillis < 0 && send(instance)) {
          trier = instance;
          completionMillis = millis + RESPONSE_MILLIS;
        }
      }
      if (millis == completionMillis) {
        trier.quarantine().recordCompletion(PROMPT, fleet.nowNanos());
      }
      fleet.run(STEP_MILLIS);
    }
    assertThat(refusingCount()).isZero();
    assertThat(fleet.instances()).allMatch(each -> each.quarantine().hasNoStrikes());
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void oneCompletionClearsThePartEverywhere(int size, long seed) {
    start(size, seed);
    crashEngines(CrashQuarantine.EPISODES);
    assertThat(refusingCount()).isEqualTo(size);
    assertThat(fleet.instances()).allMatch(each -> each.written().isEmpty());
    assertRecovers();
  }

  /** Instances that were cut off know the strikes by the announcements of the others alone. */
  @ParameterizedTest
  @MethodSource("fleets")
  void partIsClearedEverywhereAfterACut(int size, long seed) {
    start(size, seed);
    List<QuarantineFleet.Instance> cutOff = List.copyOf(fleet.instances().subList(0, size / 2));
    fleet.connect((from, to) -> cutOff.contains(from) == cutOff.contains(to));
    for (int i = 0; i < CrashQuarantine.EPISODES; i++) {
      fleet.instances().getLast().crash(PROMPT);
      fleet.run(400);
    }
    fleet.connect((from, to) -> true);
    fleet.run(1_000);
    assertRecovers();
  }

  /** Instances that restart know the part by the announcements of the others alone. */
  @ParameterizedTest
  @MethodSource("fleets")
  void partIsClearedEverywhereAfterRestartsOfHalfOfTheInstances(int size, long seed) {
    start(size, seed);
    crashEngines(CrashQuarantine.EPISODES);
    for (int i = 0; i < size / 2; i++) {
      fleet.restart(i);
    }
    fleet.run(1_000);
    assertRecovers();
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void partThatCrashesEnginesReachesFewOfThem(int size, long seed) {
    start(size, seed);
    crashEngines(COUNTED_CRASHES);
    fleet.run(CONTACT_MILLIS - 1_000);
    sent = 0;
    int crashMillis = -1;
    QuarantineFleet.Instance trier = null;
    int steps = 300_000 / STEP_MILLIS;
    for (int step = 0; step < steps; step++) {
      QuarantineFleet.Instance instance = randomInstance();
      if (send(instance)) {
        trier = instance;
        crashMillis = step * STEP_MILLIS + 100;
      }
      if (step * STEP_MILLIS == crashMillis) {
        trier.crash(PROMPT);
      }
      fleet.run(STEP_MILLIS);
    }
    assertThat(sent).isBetween(1, MAX_REACHED);
  }

  /** The request that is under way has to end before the next one, wherever it comes. */
  @Test
  void oneInstanceTriesAtATime() {
    start(4, 1);
    crashEngines(CrashQuarantine.EPISODES);
    fleet.run(2_000);
    QuarantineFleet.Instance first = fleet.instances().getFirst();
    assertThat(send(first)).isTrue();
    fleet.run(1_500);
    assertThat(refusingCount()).isEqualTo(4);
  }
}
