package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.CrashSuspects;

/**
 * Guards against instances that do not learn in time which part of prompts crashes servers, in
 * fleets of different sizes whose datagrams are late or lost.
 */
class QuarantineGossipTest {
  /** Time in which an observation has to reach all instances, in milliseconds. */
  private static final int CONTACT_MILLIS = 3_000;

  private static final int MAX_DATAGRAM_BYTES = 1_400;
  private static final long SEED = 7301;
  private static final CrashSuspects BAD = QuarantineFleet.prompt("bad");
  private static final CrashSuspects SOUND = QuarantineFleet.prompt("sound");

  private final Random random = new Random(SEED);
  private final QuarantineFleet fleet = new QuarantineFleet(random);
  private final List<QuarantineFleet.Instance> instances = fleet.instances();

  /** Crashes servers at different instances, each as an episode of its own. */
  private void crashAtDifferentInstances(CrashSuspects prompt, int count) {
    for (int i = 0; i < count; i++) {
      fleet.run(i == 0 ? 0 : 400);
      instances.get(random.nextInt(instances.size())).crash(prompt);
    }
  }

  private long quarantinedCount(CrashSuspects prompt) {
    return instances.stream().filter(each -> each.isQuarantined(prompt)).count();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void strikesOfDifferentInstancesQuarantineThePartEverywhere(int size) {
    fleet.addInstances(size);
    crashAtDifferentInstances(BAD, CrashQuarantine.EPISODES);
    fleet.run(CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isEqualTo(size);
    assertThat(quarantinedCount(SOUND)).isZero();
  }

  /** Crashes by one request follow faster than those by a part, and other requests complete. */
  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void requestThatCrashesServersAtDifferentInstancesIsRefusedEverywhere(int size) {
    CrashSuspects bad = QuarantineFleet.request("bad");
    CrashSuspects sound = QuarantineFleet.request("sound");
    fleet.addInstances(size);
    for (int i = 0; i < CrashQuarantine.EPISODES; i++) {
      instances.get(random.nextInt(size)).crash(bad);
      fleet.run(60);
      instances.forEach(each -> each.quarantine().recordCompletion(sound, fleet.nowNanos()));
    }
    fleet.run(CONTACT_MILLIS);
    assertThat(quarantinedCount(bad)).isEqualTo(size);
    assertThat(quarantinedCount(sound)).isZero();
    fleet.addInstances(1);
    fleet.run(CONTACT_MILLIS);
    assertThat(instances.getLast().isQuarantined(bad)).isTrue();
  }

  /**
   * The writers of the store must stay few, however many instances the strikes reach, but one must
   * write even if it has missed the strikes of the others.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void onlyInstancesThatFoundAStrikeWriteTheQuarantine(long seed) {
    random.setSeed(seed);
    fleet.addInstances(38);
    crashAtDifferentInstances(BAD, CrashQuarantine.EPISODES);
    fleet.run(CONTACT_MILLIS);
    assertThat(instances.stream().flatMap(each -> each.written().stream()))
        .containsOnly("bad")
        .hasSizeLessThanOrEqualTo(CrashQuarantine.EPISODES);
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void instanceThatStartsLaterLearnsTheQuarantine(int size) {
    fleet.addInstances(size);
    crashAtDifferentInstances(BAD, CrashQuarantine.EPISODES);
    fleet.run(10 * CONTACT_MILLIS);
    fleet.addInstances(1);
    fleet.run(CONTACT_MILLIS - 1_000);
    assertThat(instances.getLast().isQuarantined(BAD)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void quarantineSpreadsAfterACutHasHealed(int size) {
    fleet.addInstances(size);
    List<QuarantineFleet.Instance> near = List.copyOf(instances.subList(0, size / 2));
    fleet.connect((from, to) -> near.contains(from) == near.contains(to));
    for (int i = 0; i < CrashQuarantine.EPISODES; i++) {
      near.get(random.nextInt(near.size())).crash(BAD);
      fleet.run(400);
    }
    fleet.run(2 * CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isEqualTo(near.size());
    fleet.connect((from, to) -> true);
    fleet.run(CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isEqualTo(size);
  }

  /** Instances that repeat what others told them must not keep a quarantine alive for ever. */
  @Test
  void quarantineEndsEverywhere() {
    fleet.addInstances(4);
    crashAtDifferentInstances(BAD, CrashQuarantine.EPISODES);
    fleet.run(
        (int) TimeUnit.NANOSECONDS.toMillis(CrashQuarantine.QUARANTINE_NANOS) + CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isZero();
  }

  /**
   * A late announcement must not quarantine again a part that has been found sound since, and an
   * instance that missed the clearing must learn of it.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void clearedPartIsClearedEverywhere(long seed) {
    random.setSeed(seed);
    fleet.addInstances(38);
    crashAtDifferentInstances(SOUND, CrashQuarantine.EPISODES);
    fleet.run(CONTACT_MILLIS);
    assertThat(quarantinedCount(SOUND)).isEqualTo(38);
    instances.getFirst().quarantine().recordCompletion(SOUND, fleet.nowNanos());
    fleet.run(CONTACT_MILLIS);
    assertThat(quarantinedCount(SOUND)).isZero();
  }

  /** Guards against a storm of clearings when a part in wide use completes everywhere at once. */
  @Test
  void fewInstancesSendTheClearingOfAPartInWideUse() {
    fleet.addInstances(396);
    instances.getFirst().crash(SOUND);
    fleet.run(CONTACT_MILLIS);
    int before = instances.stream().mapToInt(each -> each.datagrams()).sum();
    for (QuarantineFleet.Instance instance : instances) {
      instance.quarantine().recordCompletion(SOUND, fleet.nowNanos());
    }
    fleet.run(CONTACT_MILLIS);
    int sent = instances.stream().mapToInt(each -> each.datagrams()).sum() - before;
    assertThat(sent).isLessThan(instances.size() * instances.size() / 2);
  }

  /** An instance must stay responsive while many servers end with many parts. */
  @Test
  void massFailureSendsABoundedNumberOfDatagramsOfUsualSize() {
    fleet.addInstances(38);
    for (int i = 0; i < 1_000; i++) {
      instances.getFirst().crash(QuarantineFleet.prompt("part-" + i));
    }
    int seconds = 5;
    fleet.run(seconds * 1_000);
    assertThat(instances.getFirst().datagrams()).isLessThanOrEqualTo(seconds * 1_000);
    assertThat(fleet.largestDatagram()).isLessThanOrEqualTo(MAX_DATAGRAM_BYTES);
  }
}
