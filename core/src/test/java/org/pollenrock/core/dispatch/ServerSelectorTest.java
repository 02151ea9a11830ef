package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;

/**
 * Guards against unused cache entries, overloaded home servers, and requests to servers that can't
 * serve them.
 */
class ServerSelectorTest {
  private final PrefixStoreView store = new PrefixStoreView();
  private final PrefixDirectory directory = new PrefixDirectory();
  private final ServerSelector selector =
      new ServerSelector(SelectorSettings.defaults("near"), directory, store, customer -> "shared");

  private static List<Backend> engines(long... weights) {
    List<Backend> servers = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      servers.add(new Backend(Fixtures.engine("engine-" + i, "near", weights[i]), 0));
    }
    return servers;
  }

  private Selection.Chosen choose(
      DispatchRequest request,
      List<Backend> servers,
      WeightsRequirement requirement,
      long nowNanos) {
    Selection selection = selector.select(request, servers, Set.of(), requirement, nowNanos);
    assertThat(selection).isInstanceOf(Selection.Chosen.class);
    return (Selection.Chosen) selection;
  }

  private static WeightsRequirement requirement(
      OptionalLong minPreferred, OptionalLong minAllowed) {
    return new WeightsRequirement(OptionalLong.of(2), minPreferred, minAllowed, minAllowed);
  }

  private static DispatchRequest promptRequest(String sharedPartId, int sharedTokens) {
    return Fixtures.request(
        "r", Optional.of(Fixtures.prompt(sharedPartId, sharedTokens, 500)), 5, 0);
  }

  @Test
  void instancesAgreeOnTheHomeOfAPrefixWithoutCommunication() {
    ServerSelector other =
        new ServerSelector(
            SelectorSettings.defaults("near"),
            new PrefixDirectory(),
            new PrefixStoreView(),
            customer -> "shared");
    List<Backend> servers = engines(1, 1, 1, 1, 1, 1, 1, 1);
    for (int i = 0; i < 50; i++) {
      DispatchRequest request = promptRequest("dossier-" + i, 5000);
      assertThat(other.select(request, servers, Set.of(), WeightsRequirement.NONE, 0))
          .isEqualTo(choose(request, servers, WeightsRequirement.NONE, 0));
    }
  }

  /** Load pattern: many shared prefixes of equal weight on servers without other load. */
  @Test
  void prefixesAreSpreadOverAllServers() {
    List<Backend> servers = engines(1, 1, 1, 1, 1, 1, 1, 1);
    Map<Backend, Integer> homes = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      homes.merge(
          choose(promptRequest("s" + i, 5000), servers, WeightsRequirement.NONE, 0).backend(),
          1,
          Integer::sum);
    }
    assertThat(homes).hasSize(8);
    assertThat(homes.values()).allMatch(count -> count > 60 && count < 150);
  }

  /** Load pattern: one popular prefix whose requests are more than one server can read. */
  @Test
  void hotPrefixSpillsToAServerThatFetchesIt() {
    List<Backend> servers = engines(1, 1, 1, 1);
    DispatchRequest request = promptRequest("hot", 5000);
    Backend home = choose(request, servers, WeightsRequirement.NONE, 0).backend();
    selector.recordPromptRead(request, home, 0);
    for (int i = 0; i < 3; i++) {
      home.recordRequestStart(request.promptTokens(), 0);
    }
    Selection.Chosen spilled = choose(request, servers, WeightsRequirement.NONE, 1);
    assertThat(spilled.backend()).isNotSameAs(home);
    assertThat(spilled.reason()).isEqualTo(Selection.Reason.SPILL);
    assertThat(spilled.cacheDirectives().orElseThrow().fetchFrom())
        .contains(home.entry().address());
  }

  /**
   * Load pattern: a prefix is requested again after a pause in which its engine may have evicted
   * it.
   */
  @Test
  void prefixIsFetchedFromAnEarlierReaderBeforeALikelyHolder() {
    List<Backend> servers = engines(1, 1, 1, 1, 1, 1, 1, 1);
    for (int i = 0; i < 20; i++) {
      DispatchRequest request = promptRequest("s" + i, 5000);
      Backend home = choose(request, servers, WeightsRequirement.NONE, 0).backend();
      Backend reader = servers.get(i % 8);
      if (reader == home) {
        continue;
      }
      selector.recordPromptRead(request, reader, 0);
      Selection.Chosen later =
          choose(request, servers, WeightsRequirement.NONE, 8 * Fixtures.SECOND);
      assertThat(later.cacheDirectives().orElseThrow().fetchFrom())
          .contains(reader.entry().address());
    }
  }

  /** Load pattern: many instances request the same prefix while its home still reads it. */
  @Test
  void uncachedPrefixStaysAtItsHome() {
    List<Backend> servers = engines(1, 1, 1, 1);
    DispatchRequest request = promptRequest("fresh", 5000);
    Backend home = choose(request, servers, WeightsRequirement.NONE, 0).backend();
    home.recordRequestStart(4_000, 0);
    assertThat(choose(request, servers, WeightsRequirement.NONE, 1).backend()).isSameAs(home);
    selector.recordPromptRead(request, home, 2);
    assertThat(choose(request, servers, WeightsRequirement.NONE, 3).backend()).isNotSameAs(home);
  }

  @Test
  void serverWithCachedPrefixFetchesNothing() {
    List<Backend> servers = engines(1, 1, 1);
    DispatchRequest request = promptRequest("s", 5000);
    Backend home = choose(request, servers, WeightsRequirement.NONE, 0).backend();
    selector.recordPromptRead(request, home, 0);
    assertThat(
            choose(request, servers, WeightsRequirement.NONE, 1)
                .cacheDirectives()
                .orElseThrow()
                .fetchFrom())
        .isEmpty();
  }

  private static DispatchRequest promptRequest(String system, String document, String id) {
    return Fixtures.request(
        id,
        Optional.of(
            new Prompt(
                Fixtures.MODEL,
                6500,
                50,
                List.of(
                    new PromptPart(system, 3000),
                    new PromptPart(document, 2000),
                    new PromptPart("own-" + id, 1500)))),
        5,
        0);
  }

  /** Load pattern: documents that nobody has read yet share a long system part. */
  @Test
  void systemPartIsFetchedEvenIfTheDocumentWasNeverRead() {
    List<Backend> servers = engines(1, 1, 1, 1, 1, 1, 1, 1);
    DispatchRequest first = promptRequest("system", "document-0", "r0");
    Backend reader = choose(first, servers, WeightsRequirement.NONE, 0).backend();
    selector.recordPromptRead(first, reader, 0);
    for (int i = 1; i < 40; i++) {
      DispatchRequest request = promptRequest("system", "document-" + i, "r" + i);
      Selection.Chosen chosen = choose(request, servers, WeightsRequirement.NONE, 1);
      if (chosen.backend() != reader) {
        assertThat(chosen.cacheDirectives().orElseThrow().fetchFrom())
            .contains(reader.entry().address());
      }
    }
  }

  /** Load pattern: a few long system parts, each with many shorter documents. */
  @Test
  void documentsOfALongSystemPartAreSpreadOverAllServers() {
    List<Backend> servers = engines(1, 1, 1, 1, 1, 1, 1, 1);
    Map<Backend, Integer> homes = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      DispatchRequest request = promptRequest("system-" + i % 3, "document-" + i, "r" + i);
      homes.merge(choose(request, servers, WeightsRequirement.NONE, 0).backend(), 1, Integer::sum);
    }
    assertThat(homes).hasSize(8);
    assertThat(homes.values()).allMatch(count -> count > 60 && count < 150);
  }

  /** Load pattern: a prefix was read by another server than its home while the home was busy. */
  @Test
  void prefixThatAnotherServerHoldsIsNotReadAgainByItsHome() {
    List<Backend> servers = engines(1, 1, 1, 1, 1, 1, 1, 1);
    for (int i = 0; i < 20; i++) {
      DispatchRequest request = promptRequest("document-" + i, 5000);
      Backend home = choose(request, servers, WeightsRequirement.NONE, 0).backend();
      Backend reader = servers.get(i % 8) == home ? servers.get((i + 1) % 8) : servers.get(i % 8);
      selector.recordPromptRead(request, reader, 0);
      assertThat(choose(request, servers, WeightsRequirement.NONE, 1).backend()).isSameAs(reader);
    }
  }

  /** Load pattern: engines evict prefixes before they are requested again. */
  @Test
  void evictedPrefixIsFetchedFromTheStore() {
    List<Backend> servers = engines(1, 1, 1);
    store.setAddress(Optional.of("10.9.9.9:80"));
    store.setReachable(true);
    DispatchRequest request = promptRequest("dossier", 5000);
    Backend home = choose(request, servers, WeightsRequirement.NONE, 0).backend();
    selector.recordPromptRead(request, home, 0);
    store.markStored(PrefixDirectory.key("shared@1", "dossier"));
    directory.recordFollowed(home, Fixtures.SECOND);
    directory.recordEviction(PrefixDirectory.key("shared@1", "dossier"), home);
    assertThat(
            choose(request, servers, WeightsRequirement.NONE, Fixtures.SECOND)
                .cacheDirectives()
                .orElseThrow()
                .fetchFrom())
        .contains("10.9.9.9:80");
  }

  @Test
  void prefixIsNeverFetchedFromOtherWeights() {
    List<Backend> servers = engines(1, 2, 2);
    WeightsRequirement requirement = requirement(OptionalLong.of(2), OptionalLong.empty());
    for (int i = 0; i < 100; i++) {
      DispatchRequest request = promptRequest("s" + i, 5000);
      selector.recordPromptRead(request, servers.get(0), 0);
      Selection.Chosen chosen = choose(request, servers, requirement, 1);
      CacheDirectives cache = chosen.cacheDirectives().orElseThrow();
      assertThat(cache.weights()).isEqualTo(chosen.backend().weightsVersion(Fixtures.MODEL));
      assertThat(cache.salt()).isEqualTo("shared@" + cache.weights().getAsLong());
      assertThat(cache.fetchFrom()).isNotEqualTo(Optional.of(servers.get(0).entry().address()));
    }
  }

  /** Load pattern: engines under load evict a long prefix before it is requested again. */
  @Test
  void longPrefixIsSavedOnceAndFetchedFromTheStoreLater() {
    List<Backend> servers = engines(1, 1, 1);
    store.setAddress(Optional.of("10.9.9.9:80"));
    store.setReachable(true);
    DispatchRequest request = promptRequest("dossier", 5000);
    CacheDirectives first =
        choose(request, servers, WeightsRequirement.NONE, 0).cacheDirectives().orElseThrow();
    assertThat(first.saveTo()).contains("10.9.9.9:80");
    CacheDirectives second =
        choose(request, servers, WeightsRequirement.NONE, 1).cacheDirectives().orElseThrow();
    assertThat(second.saveTo()).isEmpty();
    store.markStored(PrefixStoreView.key(request.prompt().orElseThrow(), first.salt()));
    long later = 20 * Fixtures.SECOND;
    CacheDirectives third =
        choose(request, servers, WeightsRequirement.NONE, later).cacheDirectives().orElseThrow();
    assertThat(third.fetchFrom()).contains("10.9.9.9:80");
    assertThat(third.saveTo()).isEmpty();
    store.setReachable(false);
    CacheDirectives fourth =
        choose(request, servers, WeightsRequirement.NONE, later).cacheDirectives().orElseThrow();
    assertThat(fourth.fetchFrom()).isNotEqualTo(Optional.of("10.9.9.9:80"));
    assertThat(fourth.saveTo()).isEmpty();
  }

  @Test
  void nothingIsFetchedOrSavedWhileTheWeightsAreUnknown() {
    List<Backend> servers = engines(1, 1);
    store.setAddress(Optional.of("10.9.9.9:80"));
    store.setReachable(true);
    servers.forEach(server -> server.clearWeightsVersion(Fixtures.MODEL));
    CacheDirectives cache =
        choose(promptRequest("dossier", 5000), servers, WeightsRequirement.NONE, 0)
            .cacheDirectives()
            .orElseThrow();
    assertThat(cache.weights()).isEmpty();
    assertThat(cache.fetchFrom()).isEmpty();
    assertThat(cache.saveTo()).isEmpty();
  }

  @Test
  void newWeightsArePreferredAndOldOnesExcludedOnceNewOnesAreMandatory() {
    List<Backend> servers = engines(1, 1, 1, 2);
    WeightsRequirement preferNew = requirement(OptionalLong.of(2), OptionalLong.empty());
    WeightsRequirement requireNew = requirement(OptionalLong.of(2), OptionalLong.of(2));
    assertThat(choose(promptRequest("s", 100), servers, preferNew, 0).backend())
        .isSameAs(servers.get(3));
    List<Backend> old = servers.subList(0, 3);
    assertThat(choose(promptRequest("s", 100), old, preferNew, 0).backend()).isIn(old);
    assertThat(selector.select(promptRequest("s", 100), old, Set.of(), requireNew, 0))
        .isInstanceOf(Selection.AllBusy.class);
  }

  @Test
  void fallbackOnlyWeightsAreUsedWhileNoServerHasNewerOnes() {
    WeightsRequirement fallbackOnly =
        new WeightsRequirement(
            OptionalLong.of(2), OptionalLong.of(2), OptionalLong.of(2), OptionalLong.empty());
    assertThat(choose(promptRequest("s", 100), engines(1, 1), fallbackOnly, 0)).isNotNull();
    List<Backend> mixed = engines(1, 1, 2);
    for (int i = 0; i < 50; i++) {
      assertThat(choose(promptRequest("s" + i, 100), mixed, fallbackOnly, 0).backend())
          .isSameAs(mixed.get(2));
    }
  }

  /**
   * Load pattern: new weights are published under load, and one engine of four has already loaded
   * them.
   */
  @Test
  void firstEngineWithNewWeightsIsNotFlooded() {
    List<Backend> servers = engines(1, 1, 1, 2);
    WeightsRequirement justPublished = requirement(OptionalLong.empty(), OptionalLong.empty());
    WeightsRequirement later = requirement(OptionalLong.of(2), OptionalLong.empty());
    for (WeightsRequirement requirement : List.of(justPublished, later)) {
      Map<Backend, Integer> counts = new HashMap<>();
      for (int i = 0; i < 40; i++) {
        DispatchRequest request = promptRequest("s" + i, 2000);
        Backend chosen = choose(request, servers, requirement, 0).backend();
        chosen.recordRequestStart(request.promptTokens(), 0);
        counts.merge(chosen, 1, Integer::sum);
      }
      assertThat(counts.get(servers.get(3))).isLessThan(20);
      counts.forEach(
          (server, count) -> {
            for (int i = 0; i < count; i++) {
              server.recordRequestEnd(2500, false);
            }
          });
    }
  }

  @Test
  void serverWithoutTheModelIsNotSelected() {
    Prompt prompt = new Prompt("other", 100, 10, List.of());
    assertThat(
            selector.select(
                Fixtures.request("r", Optional.of(prompt), 5, 0),
                engines(1),
                Set.of(),
                WeightsRequirement.NONE,
                0))
        .isInstanceOf(Selection.NoServer.class);
  }

  @Test
  void plainRequestStaysInItsDataCentreWhileASlotIsFree() {
    List<Backend> servers =
        List.of(
            new Backend(Fixtures.plainServer("far", "away", 6), 0),
            new Backend(Fixtures.plainServer("close", "near", 6), 0));
    DispatchRequest request = Fixtures.request("r", Optional.empty(), 2, 0);
    for (int i = 0; i < 6; i++) {
      assertThat(choose(request, servers, WeightsRequirement.NONE, 0).backend())
          .isSameAs(servers.get(1));
      servers.get(1).recordRequestStart(0, 0);
    }
    assertThat(choose(request, servers, WeightsRequirement.NONE, 0).backend())
        .isSameAs(servers.get(0));
  }

  private static List<Backend> twoPlainServers() {
    return List.of(
        new Backend(Fixtures.plainServer("odd", "near", 6), 0),
        new Backend(Fixtures.plainServer("sound", "near", 6), 0));
  }

  /** Load pattern: a server stops responding while requests that were sent to it are pending. */
  @Test
  void silentServerGetsNoRequestWhileThereIsAnother() {
    List<Backend> servers = twoPlainServers();
    servers.get(0).recordRequestStart(0, 0);
    for (long now = 900 * Fixtures.MILLI; now < 9 * Fixtures.SECOND; now += Fixtures.SECOND) {
      DispatchRequest request = Fixtures.request("r", Optional.empty(), 2, now);
      assertThat(choose(request, servers, WeightsRequirement.NONE, now).backend())
          .isSameAs(servers.get(1));
    }
  }

  /**
   * Load pattern: servers fail without notice, and many instances would each send requests to them.
   */
  @Test
  void missingServerGetsRequestsOnlyWhenAllOthersAreMissing() {
    List<Backend> servers = twoPlainServers();
    servers.get(0).recordUnreachable(0);
    DispatchRequest request = Fixtures.request("r", Optional.empty(), 2, 0);
    for (long now = 0; now < 9 * Fixtures.SECOND; now += Fixtures.SECOND) {
      assertThat(choose(request, servers, WeightsRequirement.NONE, now).backend())
          .isSameAs(servers.get(1));
    }
    servers.get(1).recordUnreachable(0);
    assertThat(choose(request, servers, WeightsRequirement.NONE, 1).reason())
        .isEqualTo(Selection.Reason.LAST_RESORT);
  }

  /** Load pattern: a server fails half of its requests and is used by many instances. */
  @Test
  void failingServerIsTriedAtARateThatDoesNotGrowWithTheInstances() {
    List<Backend> servers = twoPlainServers();
    selector.setInstanceCount(10);
    int trials = 0;
    for (long now = 0; now < 7 * Fixtures.SECOND; now += 10 * Fixtures.MILLI) {
      for (int i = 0; i < 5; i++) {
        servers.get(0).recordOutcome(false, now);
      }
      DispatchRequest request = Fixtures.request("r", Optional.empty(), 2, now);
      if (choose(request, servers, WeightsRequirement.NONE, now).backend() == servers.get(0)) {
        trials++;
      }
    }
    assertThat(trials).isBetween(3, 5);
  }

  @Test
  void lastServerIsUsedEvenIfItFailsOften() {
    Backend only = new Backend(Fixtures.plainServer("grey", "near", 6), 0);
    for (int i = 0; i < 20; i++) {
      only.recordOutcome(false, 0);
    }
    DispatchRequest request = Fixtures.request("r", Optional.empty(), 2, 0);
    assertThat(choose(request, List.of(only), WeightsRequirement.NONE, 1).reason())
        .isEqualTo(Selection.Reason.LAST_RESORT);
  }
}
