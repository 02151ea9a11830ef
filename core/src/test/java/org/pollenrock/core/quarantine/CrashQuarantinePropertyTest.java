package org.pollenrock.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenrock.core.quarantine.QuarantineFixture.MILLI;
import static org.pollenrock.core.quarantine.QuarantineFixture.SECOND;
import static org.pollenrock.core.quarantine.QuarantineFixture.hash;
import static org.pollenrock.core.quarantine.QuarantineFixture.prompt;
import static org.pollenrock.core.quarantine.QuarantineFixture.server;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.pollenrock.core.fleet.Backend;

/** Checks the quarantine on random sequences of crashes and completions. */
class CrashQuarantinePropertyTest {
  private static final int STEPS = 200;
  private static final int SERVERS = 6;
  private static final List<CrashSuspects> SOUND =
      List.of(prompt("a"), prompt("a", "b"), prompt("a", "c"), prompt("d"));
  private static final List<CrashSuspects> BAD =
      List.of(prompt("a", "bad"), prompt("a", "bad", "e"), prompt("d", "bad"));

  /**
   * Guards against a bad part that reaches more servers than the episodes allow, and against the
   * quarantine of a sound part that is in use. A crash breaks sound requests of the same server.
   */
  @Property(seed = "6101", tries = 300, shrinking = ShrinkingMode.OFF)
  void onlyTheBadPartIsQuarantined(@ForAll long seed) {
    Random random = new Random(seed);
    QuarantineFixture fixture = new QuarantineFixture();
    long nowNanos = random.nextLong();
    int badCrashes = 0;
    for (int step = 0; step < STEPS; step++) {
      nowNanos += CrashQuarantine.EPISODE_NANOS + random.nextLong(SECOND);
      Backend server = server("s" + random.nextInt(SERVERS), step);
      CrashSuspects bad = BAD.get(random.nextInt(BAD.size()));
      CrashSuspects running = SOUND.get(random.nextInt(SOUND.size()));
      if (random.nextInt(4) == 0) {
        fixture.crash(server, nowNanos, running);
      } else if (!fixture.quarantine().isQuarantined(bad, nowNanos)) {
        badCrashes++;
        fixture.crash(server, nowNanos, running, bad);
      }
      for (CrashSuspects sound : SOUND) {
        if (random.nextInt(10) < 8) {
          fixture.quarantine().recordCompletion(sound, nowNanos + 2 * MILLI);
        }
      }
      assertThat(badCrashes).isLessThanOrEqualTo(CrashQuarantine.EPISODES);
    }
    assertThat(fixture.quarantine().isQuarantined(prompt("bad"), nowNanos)).isTrue();
    // The part e occurs in no sound request.
    assertThat(fixture.quarantined()).contains("bad").isSubsetOf("bad", "e");
    for (CrashSuspects sound : SOUND) {
      assertThat(fixture.quarantine().isQuarantined(sound, nowNanos)).isFalse();
    }
  }

  /** Guards against instances that disagree because strikes reach them in different orders. */
  @Property(seed = "6102", tries = 300, shrinking = ShrinkingMode.OFF)
  void strikesCountInAnyOrder(@ForAll long seed) {
    Random random = new Random(seed);
    long part = hash("bad");
    List<Long> times = new ArrayList<>();
    int count = 1 + random.nextInt(6);
    for (int i = 0; i < count; i++) {
      times.add(random.nextLong(SECOND));
    }
    assertThat(isQuarantinedBy(part, times)).isEqualTo(episodes(times) >= CrashQuarantine.EPISODES);
    Collections.shuffle(times, random);
    assertThat(isQuarantinedBy(part, times)).isEqualTo(episodes(times) >= CrashQuarantine.EPISODES);
  }

  /** Guards against memory that grows with the parts and servers that callers and faults supply. */
  @Property(seed = "6103", tries = 5, shrinking = ShrinkingMode.OFF)
  void memoryIsBounded(@ForAll long seed) {
    Random random = new Random(seed);
    QuarantineFixture fixture = new QuarantineFixture();
    for (int step = 0; step < 20_000; step++) {
      CrashSuspects prompt = prompt("p" + random.nextInt(), "q" + random.nextInt());
      if (random.nextBoolean()) {
        fixture.crash(server("s" + step), step * SECOND, prompt);
      } else {
        fixture.quarantine().recordCompletion(prompt, step * SECOND);
      }
    }
    assertThat(fixture.quarantine().trackedEntries())
        .isLessThanOrEqualTo(
            CrashQuarantine.MAX_ENTRIES
                + CrashQuarantine.MAX_COMPLETED_PARTS
                + CrashQuarantine.MAX_SERVERS);
  }

  private static boolean isQuarantinedBy(long part, List<Long> strikeTimes) {
    QuarantineFixture fixture = new QuarantineFixture();
    for (int i = 0; i < strikeTimes.size(); i++) {
      fixture
          .quarantine()
          .applyStrike(QuarantineFixture.strike(part, i, strikeTimes.get(i)), SECOND);
    }
    return !fixture.quarantine().quarantinedParts(SECOND).isEmpty();
  }

  /** Counts the episodes by their definition: each lasts as long as from its first strike on. */
  private static int episodes(List<Long> strikeTimes) {
    List<Long> sorted = new ArrayList<>(strikeTimes);
    Collections.sort(sorted);
    int episodes = 0;
    while (!sorted.isEmpty()) {
      episodes++;
      long endNanos = sorted.get(0) + CrashQuarantine.EPISODE_NANOS;
      sorted.removeIf(time -> time < endNanos);
    }
    return episodes;
  }
}
