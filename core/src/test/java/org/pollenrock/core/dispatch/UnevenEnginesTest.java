package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.LoadReport;
import org.pollenrock.core.placement.RendezvousHash;

/** Load pattern: long prompts for engines of which one works at half the speed of the others. */
class UnevenEnginesTest {
  private static final int ENGINES = 4;

  private final List<Backend> engines = new ArrayList<>();
  private final ServerSelector selector =
      new ServerSelector(
          SelectorSettings.defaults("near"),
          new PrefixDirectory(),
          new PrefixStoreView(),
          customer -> "shared");

  UnevenEnginesTest() {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new Backend(Fixtures.engineAt("e" + i, "10.0.0." + i), 0));
    }
  }

  /** Returns how many of a burst of prompts each engine gets. */
  private int[] burst() {
    int[] counts = new int[ENGINES];
    for (int i = 0; i < 42; i++) {
      Prompt prompt = Fixtures.prompt("document-" + i, 0, 8_000);
      DispatchRequest request = Fixtures.promptRequest("r" + i, prompt, 60_000, 0);
      Selection selection = selector.select(request, engines, Set.of(), WeightsRequirement.NONE, 0);
      Selection.Chosen chosen = (Selection.Chosen) selection;
      chosen.backend().recordRequestStart(chosen.delayingTokens(), 0);
      counts[engines.indexOf(chosen.backend())]++;
    }
    return counts;
  }

  private static Selection.Chosen choice(Backend engine, long backlog) {
    return new Selection.Chosen(
        engine, Selection.Reason.HOME, Optional.empty(), backlog, backlog, false);
  }

  /** Lets all engines respond to the same work, the first in twice the time of the others. */
  private void measure() {
    for (int i = 0; i < 200; i++) {
      Backend engine = engines.get(i % ENGINES);
      long nanos = (engine == engines.get(0) ? 200 : 100) * Fixtures.MILLI;
      selector.speedMeter().recordPrompt(choice(engine, 8_000), nanos, 0);
    }
  }

  @Test
  void enginesThatAreAlikeGetTheSame() {
    assertThat(burst()[0]).isBetween(10, 11);
  }

  @Test
  void engineWithALongerBacklogThanOthersDoesNotCountAsFast() {
    for (int i = 0; i < 400; i++) {
      int engine = i % ENGINES;
      long backlog = engine == 0 ? 24_000 : 4_500;
      long nanos = 40 * Fixtures.MILLI + backlog * 12_000;
      selector.speedMeter().recordPrompt(choice(engines.get(engine), backlog), nanos, 0);
    }
    assertThat(engines).allSatisfy(e -> assertThat(e.speed().factor()).isEqualTo(1));
  }

  @Test
  void measuredSlowEngineGetsHalfOfThePromptsOfOthers() {
    measure();
    int[] counts = burst();
    assertThat(counts[0]).isBetween(4, 8);
    assertThat(counts[1]).isBetween(11, 13);
  }

  @Test
  void engineOnABusyMachineIsSparedForAMoment() {
    engines.get(0).recordLoad(new LoadReport(0, 0, 32, OptionalInt.of(200), false), 0);
    assertThat(burst()[0]).isBetween(4, 8);
  }

  @Test
  void slowEngineHasFewerHomesAndOthersKeepTheirs() {
    List<Backend> before = homes();
    measure();
    List<Backend> after = homes();
    int lost = 0;
    for (int i = 0; i < before.size(); i++) {
      if (before.get(i) == engines.get(0)) {
        lost += after.get(i) == engines.get(0) ? 0 : 1;
      } else {
        assertThat(after.get(i)).isSameAs(before.get(i));
      }
    }
    assertThat(lost).isBetween(before.size() / ENGINES / 3, before.size() / ENGINES * 2 / 3);
  }

  private List<Backend> homes() {
    List<Backend> homes = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      homes.add(RankedServers.highest(engines, RendezvousHash.hash("prefix-" + i)));
    }
    return homes;
  }
}
