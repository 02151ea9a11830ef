package org.pollenrock.bench.cluster;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.pollenrock.bench.history.EngineRun;
import org.pollenrock.standin.engine.EngineExecution;
import org.pollenrock.standin.engine.EngineStandin;

/** Records what engines run, and what they compute although another engine had it cached. */
final class RunRecorder {
  private final Supplier<List<EngineStandin>> engines;
  private final Queue<EngineRun> runs = new ConcurrentLinkedQueue<>();
  private volatile long startNanos = System.nanoTime();

  RunRecorder(Supplier<List<EngineStandin>> engines) {
    this.engines = engines;
  }

  void start(long nowNanos) {
    startNanos = nowNanos;
    runs.clear();
  }

  void record(EngineExecution execution) {
    int wastedBlocks = 0;
    List<EngineStandin> all = engines.get();
    for (String key : execution.missedKeys()) {
      if (all.stream().noneMatch(engine -> engine.holds(key))) {
        break;
      }
      wastedBlocks++;
    }
    int blockTokens = all.getFirst().settings().blockTokens();
    runs.add(
        new EngineRun(
            execution, wastedBlocks * blockTokens, execution.startedNanos() - startNanos));
  }

  List<EngineRun> runs() {
    return List.copyOf(runs);
  }
}
