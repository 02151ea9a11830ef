package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Chooses the server of a request.
 *
 * <p>A request with a prompt goes to the server that is expected to read the prompt first: one with
 * a short backlog that has cached the shared prefix or can fetch it. Rendezvous hashing gives every
 * prefix a home server on which all instances agree without communicating. Plain requests go to the
 * server with the least load for its speed, which is one in the same data centre as long as a
 * server there has a free slot. Servers that are silent or fail often are avoided while there are
 * others, and get a trial request from time to time.
 */
public final class ServerSelector {
  /** Weight of a new prompt in the moving average of prompt lengths. */
  private static final double MEAN_SMOOTHING_FACTOR = 0.02;

  /** Initial value of the moving average of prompt lengths, in tokens. */
  private static final double INITIAL_MEAN_TOKENS = 4_000;

  /**
   * Number of servers that are compared for a request, in addition to those that have cached its
   * prefix.
   */
  private static final int SAMPLED_SERVERS = 10;

  private final SelectorSettings settings;
  private final ServerCosts costs;
  private final PrefixDirectory directory;
  private final PrefixStoreView prefixStore;
  private final Function<Optional<String>, String> cacheScopes;
  private final LatenessEstimator lateness = new LatenessEstimator();
  private final SpeedMeter speedMeter;
  private double meanPromptTokens = INITIAL_MEAN_TOKENS;
  private int instanceCount = 1;
  private boolean allPeersReporting = true;

  /**
   * Creates a selector.
   *
   * @param settings parameters of the selection
   * @param directory servers that have cached shared prefixes
   * @param prefixStore view of the prefix store
   * @param cacheScopes returns the scope in which prompts of a customer, if there is one, are
   *     cached now; a request may be sent after the scope has changed
   */
  public ServerSelector(
      SelectorSettings settings,
      PrefixDirectory directory,
      PrefixStoreView prefixStore,
      Function<Optional<String>, String> cacheScopes) {
    this.settings = settings;
    this.costs = new ServerCosts(settings);
    this.speedMeter = new SpeedMeter(settings.dataCentre());
    this.directory = directory;
    this.prefixStore = prefixStore;
    this.cacheScopes = cacheScopes;
  }

  private String scope(DispatchRequest request) {
    return cacheScopes.apply(request.customer());
  }

  /**
   * Records that a server has read the prompt of a request.
   *
   * @param request the request
   * @param server the server
   * @param nowNanos current time
   * @return hashes of the parts that should be announced to other instances
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
    String salt = CacheDirectives.salt(scope(request), weights.getAsLong());
    List<Long> partsToAnnounce = new ArrayList<>();
    for (PromptPart part : prompt.sharedParts()) {
      long key = PrefixDirectory.key(salt, part.id());
      if (directory.recordRead(key, server, nowNanos)) {
        partsToAnnounce.add(key);
      }
    }
    return partsToAnnounce;
  }

  /**
   * Selects a server for a request.
   *
   * @param request the request
   * @param servers servers of the request's service that accept new requests
   * @param triedServers identities of the servers on which the request failed
   * @param requirement versions of the weights that the servers should have
   * @param nowNanos current time
   * @return the result
   */
  public Selection select(
      DispatchRequest request,
      List<Backend> servers,
      Set<String> triedServers,
      WeightsRequirement requirement,
      long nowNanos) {
    List<Backend> serving = serversOfModel(request, servers);
    if (serving.isEmpty()) {
      return new Selection.NoServer();
    }
    List<Backend> eligible = eligibleServers(request, serving, requirement);
    if (eligible.isEmpty()) {
      // Servers whose weights are too old are about to load newer ones, so the request may wait.
      return new Selection.AllBusy();
    }
    List<Backend> untried = excludingTried(eligible, triedServers);
    List<Backend> available = new ArrayList<>();
    List<Backend> avoided = new ArrayList<>();
    List<Backend> missing = new ArrayList<>();
    for (Backend server : untried.isEmpty() ? eligible : untried) {
      if (server.isPaused(nowNanos) || ServerCosts.isFull(server, nowNanos)) {
        continue;
      }
      if (server.isMissing()) {
        missing.add(server);
      } else {
        (shouldAvoid(server, nowNanos) ? avoided : available).add(server);
      }
    }
    if (available.isEmpty()) {
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
        ? selectByPrompt(request, available, requirement, nowNanos)
        : selectByLoad(available, nowNanos);
  }

  /**
   * Returns the estimator of late responses, which learns from all responses.
   *
   * @return the estimator
   */
  public LatenessEstimator lateness() {
    return lateness;
  }

  /**
   * Returns the meter of the speed of servers, which learns from all complete responses.
   *
   * @return the meter
   */
  public SpeedMeter speedMeter() {
    return speedMeter;
  }

  /**
   * Returns whether a server has been silent for too long or fails too often.
   *
   * @param server the server
   * @param nowNanos current time
   * @return whether other servers are preferred
   */
  public boolean shouldAvoid(Backend server, long nowNanos) {
    return isSilent(server, nowNanos) || server.failureRate(nowNanos) > settings.maxFailureRate();
  }

  /**
   * Sets the number of instances. All instances together send trial requests to an avoided server
   * at a constant rate.
   *
   * @param count number of instances; at least 1
   */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
  }

  /**
   * Sets whether all other instances report their load, or only those of this data centre. In the
   * second case, a request leaves this data centre only if the backlog here exceeds that of another
   * one by a usual backlog, and every prefix has a home in each data centre.
   *
   * @param allReporting whether all instances report
   */
  public void setAllPeersReporting(boolean allReporting) {
    allPeersReporting = allReporting;
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
    List<Backend> serving = new ArrayList<>(servers);
    serving.removeIf(server -> !server.serves(model));
    return serving;
  }

  /**
   * Returns the servers whose weights may be used. Those with fallback-only weights are included
   * only if there are no others.
   */
  private static List<Backend> eligibleServers(
      DispatchRequest request, List<Backend> serving, WeightsRequirement requirement) {
    if (request.prompt().isEmpty() || requirement.minRegular().isEmpty()) {
      return serving;
    }
    String model = request.prompt().get().model();
    List<Backend> regular = new ArrayList<>(serving);
    regular.removeIf(server -> requirement.isFallbackOnly(server.weightsVersion(model)));
    return regular.isEmpty()
        ? serving.stream()
            .filter(server -> !requirement.isExcluded(server.weightsVersion(model)))
            .toList()
        : regular;
  }

  /** Selects an avoided server. The engine gets its cache salt, but fetches and saves nothing. */
  private Selection selectAvoided(
      DispatchRequest request, Backend server, Selection.Reason reason) {
    return request
        .prompt()
        .map(
            prompt ->
                new Selection.Chosen(
                    server,
                    reason,
                    Optional.of(
                        CacheDirectives.localOnly(scope(request), weightsVersion(prompt, server))),
                    prompt.tokens(),
                    0,
                    false))
        .orElseGet(() -> new Selection.Chosen(server, reason));
  }

  private Selection selectLastResort(
      DispatchRequest request, List<Backend> avoided, long nowNanos) {
    return avoided.stream()
        .min(
            Comparator.comparingLong((Backend server) -> server.silentNanos(nowNanos))
                .thenComparingDouble(server -> server.failureRate(nowNanos)))
        .map(server -> selectAvoided(request, server, Selection.Reason.LAST_RESORT))
        .orElseGet(Selection.AllBusy::new);
  }

  private Selection selectByPrompt(
      DispatchRequest request,
      List<Backend> available,
      WeightsRequirement requirement,
      long nowNanos) {
    Prompt prompt = request.prompt().orElseThrow();
    meanPromptTokens += MEAN_SMOOTHING_FACTOR * (prompt.tokens() - meanPromptTokens);
    CachedPrefixLengths cached = cachedPrefixLengths(request, prompt, available, nowNanos);
    int sharedTokens = prompt.sharedTokens();
    int fetchableTokens = Math.max(cached.longest(), storedTokens(request, prompt, available));
    Backend home = homeServer(available, prompt.affinityHash());
    Backend best = null;
    double bestCost = Double.MAX_VALUE;
    double bestWait = 0;
    double bestBacklog = 0;
    int ownTokens = prompt.tokens() - sharedTokens;
    double remoteTokens =
        settings.remoteCostTokens() + (allPeersReporting ? 0 : settings.unknownLoadCostTokens());
    long sampleHash = RendezvousHash.hash(request.id());
    for (Backend server : available) {
      if (server != home
          && cached.on(server) == 0
          && !isSampled(server, sampleHash, available.size())) {
        continue;
      }
      double factor = ServerCosts.timeFactor(server, nowNanos);
      double queued = costs.backlogTokens(server, meanPromptTokens, nowNanos);
      double wait = costs.waitCost(server, queued, factor, remoteTokens);
      double reading = 0;
      // While no server has cached the whole prefix, all requests should have it read by its home.
      if (server != home || fetchableTokens == sharedTokens) {
        double uncached = sharedTokens - cached.on(server);
        double fetchable = Math.max(0, Math.min(uncached, fetchableTokens - cached.on(server)));
        reading = uncached - fetchable + fetchable * settings.fetchCostRatio();
      }
      double cost = wait + reading * factor + ownTokens * (factor - 1);
      if (requirement.isPenalized(server.weightsVersion(prompt.model()))) {
        cost += settings.oldWeightsCostTokens();
      }
      if (cost < bestCost) {
        best = server;
        bestCost = cost;
        bestWait = wait;
        bestBacklog = factor == 1 ? cost : queued + reading;
      }
    }
    boolean late = lateness.isLate(request, bestWait, bestCost - bestWait + ownTokens, nowNanos);
    if (late && best.load(nowNanos) >= ServerCosts.slots(best)) {
      // Late requests must not take the places of those that can be answered in time.
      return new Selection.AllBusy();
    }
    boolean fullyCached = cached.on(best) == sharedTokens;
    return new Selection.Chosen(
        best,
        fullyCached || best == home ? Selection.Reason.HOME : Selection.Reason.SPILL,
        Optional.of(cacheDirectives(request, best, cached, available, nowNanos)),
        prompt.tokens() - cached.on(best),
        Math.round(bestBacklog) + ownTokens,
        late);
  }

  private CacheDirectives cacheDirectives(
      DispatchRequest request,
      Backend target,
      CachedPrefixLengths cached,
      List<Backend> available,
      long nowNanos) {
    Prompt prompt = request.prompt().orElseThrow();
    OptionalLong weights = weightsVersion(prompt, target);
    if (weights.isEmpty() || prompt.sharedTokens() == 0) {
      return CacheDirectives.localOnly(scope(request), weights);
    }
    String salt = CacheDirectives.salt(scope(request), weights.getAsLong());
    Optional<String> fetchFrom =
        source(prompt, salt, target, cached, available)
            .or(() -> possibleSource(request, target, available, nowNanos));
    return new CacheDirectives(
        salt, weights, fetchFrom, prefixStore.tryStartSave(prompt, salt, nowNanos));
  }

  /**
   * Returns the address from which the target can fetch the longest prefix of the prompt: another
   * server with the same weights, preferably in the data centre of the target, where transfers are
   * faster, or the prefix store. A target that has cached the prefix itself ignores the source, so
   * one is named in any case.
   */
  private Optional<String> source(
      Prompt prompt,
      String salt,
      Backend target,
      CachedPrefixLengths cached,
      List<Backend> available) {
    Backend source = null;
    int sourceTokens = 0;
    for (Backend server : available) {
      int tokens = cached.on(server);
      if (server == target
          || tokens == 0
          || tokens < sourceTokens
          || !hasSameWeights(prompt, server, target)) {
        continue;
      }
      if (tokens > sourceTokens || isNear(server, target) && !isNear(source, target)) {
        source = server;
        sourceTokens = tokens;
      }
    }
    if (prefixStore.storedTokens(prompt, salt) > sourceTokens) {
      return prefixStore.address();
    }
    return Optional.ofNullable(source).map(holder -> holder.entry().address());
  }

  private static boolean isNear(Backend server, Backend other) {
    return server.entry().dataCentre().equals(other.entry().dataCentre());
  }

  /** Returns the length of the shared prefix in the prefix store, for the weights in common use. */
  private int storedTokens(DispatchRequest request, Prompt prompt, List<Backend> available) {
    OptionalLong weights = weightsVersion(prompt, available.get(0));
    return weights.isEmpty()
        ? 0
        : prefixStore.storedTokens(
            prompt, CacheDirectives.salt(scope(request), weights.getAsLong()));
  }

  /**
   * Returns the address of a server that read the whole prefix some time ago and may still have
   * cached it. A failed fetch is cheap.
   */
  private Optional<String> possibleSource(
      DispatchRequest request, Backend target, List<Backend> available, long nowNanos) {
    Prompt prompt = request.prompt().orElseThrow();
    long version = target.weightsVersion(prompt.model()).orElseThrow();
    List<PromptPart> parts = prompt.sharedParts();
    String salt = CacheDirectives.salt(scope(request), version);
    long key = PrefixDirectory.key(salt, parts.get(parts.size() - 1).id());
    return directory.possibleHolders(key, nowNanos).stream()
        .filter(server -> server != target && available.contains(server))
        .filter(server -> hasSameWeights(prompt, server, target))
        .findFirst()
        .map(server -> server.entry().address());
  }

  private static OptionalLong weightsVersion(Prompt prompt, Backend server) {
    return server.weightsVersion(prompt.model());
  }

  private static boolean hasSameWeights(Prompt prompt, Backend server, Backend other) {
    return weightsVersion(prompt, server).equals(weightsVersion(prompt, other));
  }

  /** Returns the known cached prefix lengths of a prompt. */
  private CachedPrefixLengths cachedPrefixLengths(
      DispatchRequest request, Prompt prompt, List<Backend> servers, long nowNanos) {
    CachedPrefixLengths cached = new CachedPrefixLengths();
    Set<Long> versions = new HashSet<>();
    for (Backend server : servers) {
      server.weightsVersion(prompt.model()).ifPresent(versions::add);
    }
    for (long version : versions) {
      String salt = CacheDirectives.salt(scope(request), version);
      int prefixTokens = 0;
      for (PromptPart part : prompt.sharedParts()) {
        for (Backend holder : directory.holders(PrefixDirectory.key(salt, part.id()), nowNanos)) {
          // A part is usable only if all parts before it are cached too.
          if (cached.on(holder) == prefixTokens
              && holder.weightsVersion(prompt.model()).orElse(-1) == version) {
            cached.recordLength(holder, prefixTokens + part.tokens());
          }
        }
        prefixTokens += part.tokens();
      }
    }
    return cached;
  }

  /** Returns the server to which other instances are also expected to send a prefix. */
  private Backend homeServer(List<Backend> available, long affinityHash) {
    if (allPeersReporting) {
      return RankedServers.highest(available, affinityHash);
    }
    List<Backend> localServers = new ArrayList<>(available);
    localServers.removeIf(server -> !server.entry().dataCentre().equals(settings.dataCentre()));
    return RankedServers.highest(localServers.isEmpty() ? available : localServers, affinityHash);
  }

  /**
   * Returns whether a server belongs to the sample of a request. Samples differ between requests,
   * so that instances don't all choose the same server.
   */
  private static boolean isSampled(Backend server, long sampleHash, int servers) {
    return Long.remainderUnsigned(RendezvousHash.mix(sampleHash ^ server.idHash()), servers)
        < SAMPLED_SERVERS;
  }

  private Selection selectByLoad(List<Backend> available, long nowNanos) {
    Backend best = null;
    double bestCost = Double.MAX_VALUE;
    for (Backend server : available) {
      double cost = costs.plainCost(server, nowNanos);
      if (cost < bestCost) {
        best = server;
        bestCost = cost;
      }
    }
    return new Selection.Chosen(best, Selection.Reason.LEAST_LOADED);
  }

  private static List<Backend> excludingTried(List<Backend> servers, Set<String> triedServers) {
    if (triedServers.isEmpty()) {
      return servers;
    }
    return servers.stream().filter(server -> !triedServers.contains(server.entry().id())).toList();
  }
}
