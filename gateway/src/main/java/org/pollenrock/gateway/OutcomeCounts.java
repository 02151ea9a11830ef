package org.pollenrock.gateway;

import org.pollenrock.core.fleet.Backend;
import org.pollenrock.protocol.generated.ServerOutcomes;

/** Counts outcomes of requests at one server that were not yet sent to other instances. */
final class OutcomeCounts {
  private int successes;
  private int failures;

  /** Counts an outcome. */
  void add(boolean success) {
    if (success) {
      successes++;
    } else {
      failures++;
    }
  }

  /** Returns the part of a gossip message that carries the counts. */
  ServerOutcomes toMessage(Backend backend) {
    return ServerOutcomes.newBuilder()
        .setServer(backend.idHash())
        .setSuccesses(successes)
        .setFailures(failures)
        .build();
  }
}
