package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Chooses the server of a request.
 *
 * <p>Requests with a prompt go where it is read first: to a server with little to read that keeps
 * its shared prefix, or that can fetch it. Rendezvous hashing lets all instances agree without
 * talking on where a prefix is kept. Plain requests go to the least loaded server, in their own
 * data centre while one there has a free slot. Servers that are silent or fail often are avoided
 * while there are others, and tried now and then.
 */
public final class ServerSelector {
  /** Requests that one server holds at most, as a multiple of those that it runs at once. */
  private static final double MAX_LOAD_PER_SLOT = 1.5;

  /** Slots assumed of a server that has not told its number. */
  private static final int DEFAULT_SLOTS = 4;

  /** Weight of one prompt in the moving average of their lengths. */
  private static final double MEAN_SMOOTHING_FACTOR = 0.02;

  /** Mean length of a prompt before any was seen, in tokens. */
  private static final double INITIAL_MEAN_TOKENS = 4_000;

  /** Servers that are compared for a request, besides those that keep its prefix. */
  private static final int SAMPLED_SERVERS = 10;

  /** Time for which a server under load is taken to keep a prefix that it read. */
  private static final long CACHED_NANOS = 5_000_000_000L;

  /** Time after which an engine under load has certainly dropped a prefix that it read. */
  private static final long MAYBE_CACHED_NANOS = 15_000_000_000L;

  private final SelectorSettings settings;
  private final PrefixDirectory directory;
  private final PrefixStoreView prefixStore;
  private double meanPromptTokens = INITIAL_MEAN_TOKENS;
  private int instanceCount = 1;
  private boolean allPeersReporting = true;

  /**
   * Creates a selector.
   *
   * @param settings its bounds
   * @param directory where prefixes of prompts were read
   * @param store store of prefixes
   */
  public ServerSelector(
      SelectorSettings settings, PrefixDirectory directory, PrefixStoreView store) {
    this.settings = settings;
    this.directory = directory;
    this.prefixStore = store;
  }

  /**
   * A server has read the prompt of a request.
   *
   * @param request the request
   * @param server the server
   * @param nowNanos current time
   * @return hashes of its prefixes of which other instances should be told
   */
  public List<Long> recordPromptRead(DispatchRequest request, Backend server, long nowNanos) {
    if (request.prompt().isEmpty()) {
      return List.of();
    }
    Prompt prompt = request.prompt().get();
    OptionalLong weights = server.weightsVersion(prompt.model());
    if (weights.isEmpty()) {
      return List.of();
    }
    List<Long> news = new ArrayList<>();
    for (SharedPrefix prefix : prompt.sharedPrefixes()) {
      long key = PrefixDirectory.key(prefix.hash(), request.cacheScope(), weights.getAsLong());
      if (directory.recordRead(key, server, nowNanos)) {
        news.add(key);
      }
    }
    return news;
  }

  /**
   * Chooses a server.
   *
   * @param request the request
   * @param servers servers of its service that take new requests
   * @param tried identities of servers that failed the request before
   * @param wanted version of the weights that servers should have
   * @param nowNanos current time
   * @return the choice
   */
  public Selection select(
      DispatchRequest request,
      List<Backend> servers,
      Set<String> tried,
      WeightsRequirement wanted,
      long nowNanos) {
    List<Backend> serving = serversOfModel(request, servers);
    if (serving.isEmpty()) {
      return new Selection.NoServer();
    }
    List<Backend> able = eligibleServers(request, serving, wanted);
    if (able.isEmpty()) {
      // Servers with weights that are too old get newer ones soon, so the request may wait.
      return new Selection.AllBusy();
    }
    List<Backend> untried = excludingTried(able, tried);
    List<Backend> open = new ArrayList<>();
    List<Backend> avoided = new ArrayList<>();
    List<Backend> missing = new ArrayList<>();
    for (Backend server : untried.isEmpty() ? able : untried) {
      if (server.isPaused(nowNanos) || isFull(server, nowNanos)) {
        continue;
      }
      if (server.isMissing()) {
        missing.add(server);
      } else {
        (shouldAvoid(server, nowNanos) ? avoided : open).add(server);
      }
    }
    if (open.isEmpty()) {
      return selectLastResort(request, avoided.isEmpty() ? missing : avoided, nowNanos);
    }
    if (request.repeatable()) {
      for (Backend server : avoided) {
        if (!isSilent(server, nowNanos) && server.tryStartTrial(trialIntervalNanos(), nowNanos)) {
          return selectAvoided(request, server, Selection.Reason.PROBE);
        }
      }
    }
    return request.prompt().isPresent()
        ? selectByPrompt(request, open, wanted, nowNanos)
        : selectByLoad(open, nowNanos);
  }

  /**
   * Tells whether a server owes an answer for too long or fails too often.
   *
   * @param server the server
   * @param nowNanos current time
   * @return whether other servers go first
   */
  public boolean shouldAvoid(Backend server, long nowNanos) {
    return isSilent(server, nowNanos) || server.failureRate(nowNanos) > settings.maxFailureRate();
  }

  /**
   * Sets the number of instances, which together try avoided servers at a steady rate.
   *
   * @param count the number; at least 1
   */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
  }

  /**
   * Tells whether all other instances say what they have under way, or only those of this data
   * centre. In the second case, requests stay in it unless it is busier by a usual backlog, and
   * prefixes have a home in every data centre.
   *
   * @param all whether all do
   */
  public void setAllPeersReporting(boolean all) {
    allPeersReporting = all;
  }

  private long trialIntervalNanos() {
    return settings.trialIntervalNanos() * instanceCount;
  }

  private boolean isSilent(Backend server, long nowNanos) {
    return server.silentNanos(nowNanos) > settings.silenceTimeoutNanos();
  }

  private static List<Backend> serversOfModel(DispatchRequest request, List<Backend> servers) {
    if (request.prompt().isEmpty()) {
      return servers;
    }
    String model = request.prompt().get().model();
    return servers.stream().filter(server -> server.serves(model)).toList();
  }

  /** Servers whose weights may be used, those that are too old for now only without others. */
  private static List<Backend> eligibleServers(
      DispatchRequest request, List<Backend> serving, WeightsRequirement wanted) {
    if (request.prompt().isEmpty() || wanted.minRegular().isEmpty()) {
      return serving;
    }
    String model = request.prompt().get().model();
    List<Backend> usual =
        serving.stream()
            .filter(server -> !wanted.isFallbackOnly(server.weightsVersion(model)))
            .toList();
    return usual.isEmpty()
        ? serving.stream()
            .filter(server -> !wanted.isExcluded(server.weightsVersion(model)))
            .toList()
        : usual;
  }

  /** An avoided server; it is told of the cache, but fetches and saves nothing. */
  private static Selection selectAvoided(
      DispatchRequest request, Backend server, Selection.Reason reason) {
    return request
        .prompt()
        .map(
            prompt ->
                new Selection.Chosen(
                    server,
                    reason,
                    Optional.of(
                        CacheDirectives.localOnly(
                            request.cacheScope(), weightsVersion(prompt, server))),
                    prompt.tokens()))
        .orElseGet(() -> new Selection.Chosen(server, reason));
  }

  private static Selection selectLastResort(
      DispatchRequest request, List<Backend> avoided, long nowNanos) {
    return avoided.stream()
        .min(
            Comparator.comparingLong((Backend server) -> server.silentNanos(nowNanos))
                .thenComparingDouble(server -> server.failureRate(nowNanos)))
        .map(server -> selectAvoided(request, server, Selection.Reason.LAST_RESORT))
        .orElseGet(Selection.AllBusy::new);
  }

  private Selection selectByPrompt(
      DispatchRequest request, List<Backend> open, WeightsRequirement wanted, long nowNanos) {
    Prompt prompt = request.prompt().orElseThrow();
    meanPromptTokens += MEAN_SMOOTHING_FACTOR * (prompt.tokens() - meanPromptTokens);
    CachedPrefixLengths kept = cachedPrefixLengths(request, prompt, open, nowNanos);
    int shared = prompt.sharedTokens();
    Backend home = homeServer(open, prompt.affinityHash());
    Backend best = null;
    double bestCost = Double.MAX_VALUE;
    long sample = RendezvousHash.hash(request.id());
    for (Backend server : open) {
      int keeps = server == home ? shared : kept.on(server);
      if (keeps == 0 && server != home && !isSampled(server, sample, open.size())) {
        continue;
      }
      double lack = shared - keeps;
      double fetched = Math.max(0, Math.min(lack, kept.most() - keeps));
      double reading = lack - fetched + fetched * settings.fetchCostRatio();
      double cost = waitCost(server, nowNanos) + reading;
      if (wanted.isPenalized(server.weightsVersion(prompt.model()))) {
        cost += settings.oldWeightsCostTokens();
      }
      if (cost < bestCost) {
        best = server;
        bestCost = cost;
      }
    }
    boolean keeps = kept.on(best) == shared;
    return new Selection.Chosen(
        best,
        keeps || best == home ? Selection.Reason.HOME : Selection.Reason.SPILL,
        Optional.of(cacheDirectives(request, best, kept, open, nowNanos)),
        prompt.tokens() - kept.on(best));
  }

  private CacheDirectives cacheDirectives(
      DispatchRequest request,
      Backend target,
      CachedPrefixLengths kept,
      List<Backend> open,
      long nowNanos) {
    Prompt prompt = request.prompt().orElseThrow();
    OptionalLong weights = weightsVersion(prompt, target);
    if (weights.isEmpty() || prompt.sharedTokens() == 0) {
      return CacheDirectives.localOnly(request.cacheScope(), weights);
    }
    String text = CacheDirectives.text(request.cacheScope(), weights.getAsLong());
    Optional<String> fetchFrom =
        kept.on(target) == prompt.sharedTokens()
            ? Optional.empty()
            : cachedSource(prompt, target, kept, open)
                .or(() -> prefixStore.fetchAddress(prompt, text))
                .or(() -> staleSource(request, target, open, nowNanos))
                .or(() -> likelySource(prompt, target, open));
    return new CacheDirectives(
        text, weights, fetchFrom, prefixStore.tryStartSave(prompt, text, nowNanos));
  }

  /** Cost of what is in the way of a prompt at a server, in tokens read. */
  private double waitCost(Backend server, long nowNanos) {
    double unread = server.unreadTokens(meanPromptTokens, nowNanos);
    double batch = server.load(nowNanos) * settings.runningRequestCostTokens();
    boolean local = server.entry().dataCentre().equals(settings.dataCentre());
    double remote =
        settings.remoteCostTokens() + (allPeersReporting ? 0 : settings.unknownLoadCostTokens());
    return unread + batch + (local ? 0 : remote);
  }

  /** Address of the server with the same weights that keeps most of the prefix of a prompt. */
  private static Optional<String> cachedSource(
      Prompt prompt, Backend target, CachedPrefixLengths kept, List<Backend> open) {
    Backend source = null;
    int most = kept.on(target);
    for (Backend server : open) {
      if (kept.on(server) > most && hasSameWeights(prompt, server, target)) {
        source = server;
        most = kept.on(server);
      }
    }
    return Optional.ofNullable(source).map(from -> from.entry().address());
  }

  /**
   * Address of a server that once kept the whole prefix and may still; asking it in vain is cheap.
   */
  private Optional<String> staleSource(
      DispatchRequest request, Backend target, List<Backend> open, long nowNanos) {
    Prompt prompt = request.prompt().orElseThrow();
    long version = target.weightsVersion(prompt.model()).orElseThrow();
    List<SharedPrefix> prefixes = prompt.sharedPrefixes();
    long hash = prefixes.get(prefixes.size() - 1).hash();
    long key = PrefixDirectory.key(hash, request.cacheScope(), version);
    return directory.holders(key, MAYBE_CACHED_NANOS, nowNanos).stream()
        .filter(server -> server != target && open.contains(server))
        .filter(server -> hasSameWeights(prompt, server, target))
        .findFirst()
        .map(server -> server.entry().address());
  }

  /** Address of the server where other instances are most likely to have had the prompt read. */
  private static Optional<String> likelySource(Prompt prompt, Backend target, List<Backend> open) {
    List<Backend> others =
        open.stream()
            .filter(server -> server != target && hasSameWeights(prompt, server, target))
            .toList();
    return Optional.ofNullable(highestRanked(others, prompt.affinityHash()))
        .map(from -> from.entry().address());
  }

  private static OptionalLong weightsVersion(Prompt prompt, Backend server) {
    return server.weightsVersion(prompt.model());
  }

  private static boolean hasSameWeights(Prompt prompt, Backend server, Backend other) {
    return weightsVersion(prompt, server).equals(weightsVersion(prompt, other));
  }

  /** Tokens of a prompt's prefix that servers are known to keep. */
  private CachedPrefixLengths cachedPrefixLengths(
      DispatchRequest request, Prompt prompt, List<Backend> servers, long nowNanos) {
    CachedPrefixLengths kept = new CachedPrefixLengths();
    Set<Long> versions = new HashSet<>();
    for (Backend server : servers) {
      server.weightsVersion(prompt.model()).ifPresent(versions::add);
    }
    for (SharedPrefix prefix : prompt.sharedPrefixes()) {
      for (long version : versions) {
        long key = PrefixDirectory.key(prefix.hash(), request.cacheScope(), version);
        for (Backend holder : directory.holders(key, CACHED_NANOS, nowNanos)) {
          if (holder.weightsVersion(prompt.model()).orElse(-1) == version) {
            kept.recordLength(holder, prefix.tokens());
          }
        }
      }
    }
    return kept;
  }

  /** Where this instance expects the others to send a prefix as well. */
  private Backend homeServer(List<Backend> open, long subject) {
    if (allPeersReporting) {
      return highestRanked(open, subject);
    }
    List<Backend> near =
        open.stream()
            .filter(server -> server.entry().dataCentre().equals(settings.dataCentre()))
            .toList();
    return highestRanked(near.isEmpty() ? open : near, subject);
  }

  /** A few servers, other ones for every request, so that instances don't all choose the same. */
  private static boolean isSampled(Backend server, long sample, int servers) {
    return Long.remainderUnsigned(RendezvousHash.mix(sample ^ server.idHash()), servers)
        < SAMPLED_SERVERS;
  }

  /** First server in the ranking of a prefix. */
  private static Backend highestRanked(List<Backend> servers, long subject) {
    Backend first = null;
    for (Backend server : servers) {
      if (first == null || ranksBefore(server, first, subject)) {
        first = server;
      }
    }
    return first;
  }

  private Selection selectByLoad(List<Backend> open, long nowNanos) {
    Backend best = null;
    double bestCost = Double.MAX_VALUE;
    for (Backend server : open) {
      double cost = plainCost(server, nowNanos);
      if (cost < bestCost) {
        best = server;
        bestCost = cost;
      }
    }
    return new Selection.Chosen(best, Selection.Reason.LEAST_LOADED);
  }

  /** Share of the slots in use; a server elsewhere counts as one that is full. */
  private double plainCost(Backend server, long nowNanos) {
    double used = (server.load(nowNanos) + 1) / slots(server);
    return server.entry().dataCentre().equals(settings.dataCentre()) ? used : used + 1;
  }

  private static boolean isFull(Backend server, long nowNanos) {
    return server.load(nowNanos) >= MAX_LOAD_PER_SLOT * slots(server);
  }

  private static int slots(Backend server) {
    return server.slots() > 0 ? server.slots() : DEFAULT_SLOTS;
  }

  private static boolean ranksBefore(Backend server, Backend other, long subject) {
    return Long.compareUnsigned(
            RendezvousHash.mix(subject ^ server.idHash()),
            RendezvousHash.mix(subject ^ other.idHash()))
        > 0;
  }

  private static List<Backend> excludingTried(List<Backend> servers, Set<String> tried) {
    if (tried.isEmpty()) {
      return servers;
    }
    return servers.stream().filter(server -> !tried.contains(server.entry().id())).toList();
  }
}
