package org.pollenrock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Continuous batching: each step prefills a chunk of one sequence and decodes a token of the
 * others.
 *
 * <p>Confined to the engine's event loop, but for the queries that the oracle uses.
 */
final class EngineBatch {
  private static final int TOKENS_BEFORE_CUT = 3;
  private static final Comparator<EngineSequence> ORDER =
      Comparator.comparingInt(EngineSequence::priority).thenComparingLong(EngineSequence::arrival);

  private final EngineSettings settings;
  private final EventLoop loop;
  private final CacheEventFeed events;
  private final EngineFaults faults;
  private final Consumer<EngineExecution> observer;
  private final EngineBlockCache cache;
  private final TreeSet<EngineSequence> waiting = new TreeSet<>(ORDER);
  private final List<EngineSequence> running = new ArrayList<>();
  private long arrivals;
  private boolean stepping;
  private long stepEndNanos;
  private long incarnation;
  private String version = "";
  private volatile int queueTokens;
  private volatile Set<String> pendingKeys = Set.of();
  private long rateSinceNanos = System.nanoTime();
  private long rateSinceStored;
  private double storedRate;

  EngineBatch(
      EngineSettings settings,
      EventLoop loop,
      CacheEventFeed events,
      EngineFaults faults,
      Consumer<EngineExecution> observer) {
    this.settings = settings;
    this.loop = loop;
    this.events = events;
    this.faults = faults;
    this.observer = observer;
    this.cache = new EngineBlockCache(settings.cacheBlocks());
  }

  long nextArrival() {
    return arrivals++;
  }

  void add(EngineSequence sequence, long currentIncarnation, String currentVersion) {
    incarnation = currentIncarnation;
    version = currentVersion;
    waiting.add(sequence);
    countQueue();
    if (!stepping) {
      stepping = true;
      stepEndNanos = System.nanoTime();
      step();
    }
  }

  void cancel(String attempt) {
    waiting.removeIf(sequence -> sequence.attempt().equals(attempt));
    running.removeIf(sequence -> sequence.attempt().equals(attempt));
    countQueue();
  }

  void dropAll() {
    waiting.forEach(EngineSequence::abort);
    running.forEach(EngineSequence::abort);
    waiting.clear();
    running.clear();
    countQueue();
  }

  void forgetCache() {
    synchronized (cache) {
      cache.clear();
    }
  }

  int cachedLeading(List<String> keys) {
    synchronized (cache) {
      int count = 0;
      while (count < keys.size() && cache.holds(keys.get(count))) {
        count++;
      }
      return count;
    }
  }

  boolean holds(String key) {
    synchronized (cache) {
      return cache.holds(key);
    }
  }

  /** Leading keys that are cached, or will be when the sequences ahead have been prefilled. */
  int expectedLeading(List<String> keys) {
    int count = cachedLeading(keys);
    while (count < keys.size() && pendingKeys.contains(keys.get(count))) {
      count++;
    }
    return count;
  }

  List<String> cachedKeys() {
    synchronized (cache) {
      return cache.keys();
    }
  }

  void importKeys(JsonNode keys, String salt) {
    List<String> imported = new ArrayList<>();
    keys.forEach(key -> imported.add(key.asText()));
    storeBlocks(imported, salt);
  }

  int queueTokens() {
    return queueTokens;
  }

  int running() {
    return running.size();
  }

  int cacheSize() {
    synchronized (cache) {
      return cache.size();
    }
  }

  long foreignHits() {
    synchronized (cache) {
      return cache.foreignHits();
    }
  }

  double storedPerSecond(long nowNanos) {
    long stored;
    synchronized (cache) {
      stored = cache.stored();
    }
    double seconds = (nowNanos - rateSinceNanos) / 1e9;
    if (seconds >= 1.0) {
      storedRate = (stored - rateSinceStored) / seconds;
      rateSinceNanos = nowNanos;
      rateSinceStored = stored;
    }
    return storedRate;
  }

  private void step() {
    running.removeIf(EngineSequence::abandoned);
    waiting.removeIf(EngineSequence::abandoned);
    admit();
    if (running.isEmpty()) {
      stepping = false;
      countQueue();
      return;
    }
    EngineSequence prefill = nextPrefill();
    if (prefill != null && !prefill.scheduled()) {
      begin(prefill);
    }
    int chunk = prefill == null ? 0 : Math.min(settings.chunkTokens(), prefill.remainingPrefill());
    boolean decoding = running.stream().anyMatch(sequence -> !sequence.prefilling());
    double prefillNanos = chunk * 1e9 / settings.prefillTokensPerSecond();
    double decodeNanos = decoding ? settings.decodeStep().toNanos() : 0;
    long stepNanos = Math.round((prefillNanos + decodeNanos) * faults.slowdown());
    stepEndNanos = Math.max(stepEndNanos, System.nanoTime() - stepNanos) + stepNanos;
    long delay = Math.max(0, stepEndNanos - System.nanoTime());
    loop.schedule(() -> finishStep(prefill, chunk), delay, TimeUnit.NANOSECONDS);
  }

  private void admit() {
    while (running.size() < settings.slots() && !waiting.isEmpty()) {
      running.add(waiting.pollFirst());
    }
  }

  /** Looks up the cache only now, so that a prefix that an earlier sequence computed is found. */
  private void begin(EngineSequence sequence) {
    EnginePrompt prompt = sequence.prompt();
    int promptTokens = promptTokens(sequence);
    List<String> keys = prompt.blockKeys();
    int hits;
    synchronized (cache) {
      hits = cache.useLeading(keys, prompt.cacheSalt());
    }
    int cachedTokens = Math.min(hits * settings.blockTokens(), promptTokens - 1);
    List<String> missing = keys.subList(hits, keys.size());
    sequence.schedule(promptTokens, cachedTokens, missing, version);
    observer.accept(
        new EngineExecution(
            settings.name(),
            sequence.attempt(),
            prompt.cacheSalt(),
            incarnation,
            version,
            promptTokens,
            cachedTokens,
            List.copyOf(missing),
            System.nanoTime()));
  }

  private EngineSequence nextPrefill() {
    return running.stream().filter(EngineSequence::prefilling).min(ORDER).orElse(null);
  }

  private void finishStep(EngineSequence prefill, int chunk) {
    if (prefill != null && running.contains(prefill)) {
      prefill.prefilled(chunk);
      if (!prefill.prefilling()) {
        storeBlocks(prefill.missingKeys(), prefill.prompt().cacheSalt());
      }
    }
    Iterator<EngineSequence> sequences = running.iterator();
    while (sequences.hasNext()) {
      EngineSequence sequence = sequences.next();
      if (!sequence.prefilling() && emit(sequence)) {
        sequences.remove();
      }
    }
    countQueue();
    step();
  }

  private boolean emit(EngineSequence sequence) {
    boolean cut = sequence.emitted() == TOKENS_BEFORE_CUT && sequence.prompt().stream();
    if (cut && faults.takeCut()) {
      sequence.abort();
      return true;
    }
    if (sequence.beforeLast() && sequence.prompt().stream() && faults.takeEndCut()) {
      sequence.emitAndAbort(answerHeaders(sequence));
      return true;
    }
    sequence.emit(answerHeaders(sequence));
    return sequence.finished();
  }

  private Map<String, String> answerHeaders(EngineSequence sequence) {
    String attempt = sequence.attempt();
    if (sequence.emitted() == 0 && faults.takeAnswerForOther()) {
      attempt = "other-1-1";
    }
    return Map.of(
        "X-Attempt-Id", attempt,
        "X-Incarnation", Long.toString(incarnation),
        "X-Weights-Version", version,
        "X-Cached-Tokens", Integer.toString(sequence.cachedTokens()),
        "X-Prompt-Tokens", Integer.toString(promptTokens(sequence)),
        "X-Queue-Tokens", Integer.toString(queueTokens));
  }

  private void storeBlocks(List<String> keys, String salt) {
    List<String> evicted;
    synchronized (cache) {
      evicted = cache.store(keys, salt);
    }
    long now = System.nanoTime();
    keys.forEach(key -> events.add(true, key, now));
    evicted.forEach(key -> events.add(false, key, now));
  }

  private int missing(EngineSequence sequence) {
    int cachedTokens = cachedLeading(sequence.prompt().blockKeys()) * settings.blockTokens();
    return Math.max(1, promptTokens(sequence) - cachedTokens);
  }

  private int promptTokens(EngineSequence sequence) {
    return Math.max(1, sequence.prompt().text().length() / settings.bytesPerToken());
  }

  private void countQueue() {
    int tokens = 0;
    for (EngineSequence sequence : running) {
      tokens += sequence.scheduled() ? Math.max(0, sequence.remainingPrefill()) : missing(sequence);
    }
    for (EngineSequence sequence : waiting) {
      tokens += missing(sequence);
    }
    queueTokens = tokens;
    Set<String> pending = new HashSet<>();
    running.stream()
        .filter(EngineSequence::prefilling)
        .forEach(sequence -> pending.addAll(sequence.prompt().blockKeys()));
    waiting.forEach(sequence -> pending.addAll(sequence.prompt().blockKeys()));
    pendingKeys = pending;
  }
}
